/**
 * What a daemon tells the others of itself through the store.
 *
 * @packageDocumentation
 */

/** Where another daemon is reached, and what it can carry. */
export interface DaemonRecord {
  readonly name: string;
  /** New with each start of the process. */
  readonly life: string;
  readonly host: string;
  /** Port on which it takes orders of the holder of the promotion duty. */
  readonly port: number;
  /** Port on which it lends connections to members. */
  readonly gatewayPort: number;
  readonly zone: string;
  /** Processors that it has, in cores of the ordinary speed. */
  readonly capacity: number;
}
