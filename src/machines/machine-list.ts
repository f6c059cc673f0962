/**
 * The platform's list of live and leaving machines. The list may be out of date, so it is used only as a
 * hint: where to contact other daemons, and which members are about to leave.
 *
 * @packageDocumentation
 */
import { z } from 'zod';
import { requestIfChanged, type JsonHttpOptions } from '../store/json-http.js';

const machineSchema = z.object({
  id: z.string(),
  kind: z.enum(['daemon', 'member']),
  zone: z.string(),
  host: z.string(),
  port: z.number().int(),
  state: z.enum(['live', 'leaving']),
});

const listSchema = z.object({ machines: z.array(machineSchema) });

/** An entry of the list. */
export type Machine = z.infer<typeof machineSchema>;

/** Polls the list and caches the last response. */
export class MachineList {
  /** Bytes of requests and responses so far, without the overhead of the protocols below HTTP. */
  trafficBytes = 0;
  #machines: readonly Machine[] = [];
  #entityTag: string | null = null;
  #timer: NodeJS.Timeout | null = null;

  /** @param http - endpoint of the list; `null` when there is none */
  constructor(
    private readonly http: JsonHttpOptions | null,
    private readonly intervalMs: number,
    /** Called after each response, also when the list has not changed. */
    private readonly onResponse: () => void,
  ) {}

  /** The machines of the last response. */
  get machines(): readonly Machine[] {
    return this.#machines;
  }

  /** Fetches the list; keeps the cached one when the request fails. */
  async refresh(): Promise<void> {
    if (this.http === null) return;
    try {
      const response = await requestIfChanged(this.http, '/v1/machines', this.#entityTag);
      this.trafficBytes += response.bytes;
      if (response.kind === 'changed') this.#updateMachines(response.body, response.entityTag);
      this.onResponse();
    } catch {
      // The list is only a hint: when the request fails, the cached one remains in use.
    }
  }

  #updateMachines(body: unknown, entityTag: string | null): void {
    const result = listSchema.safeParse(body);
    if (!result.success) return;
    this.#entityTag = entityTag;
    this.#machines = result.data.machines;
  }

  /** Starts polling. */
  start(): void {
    this.#timer = setInterval(() => void this.refresh(), this.intervalMs);
  }

  /** Stops polling. */
  stop(): void {
    if (this.#timer !== null) clearInterval(this.#timer);
  }

  /** True when the list reports a member as leaving. */
  isMemberLeaving(memberId: string): boolean {
    return this.#machines.some(
      ({ id, kind, state }) => kind === 'member' && id === memberId && state === 'leaving',
    );
  }

  /** Number of daemons in the list. */
  get daemonCount(): number {
    return this.#machines.filter(({ kind }) => kind === 'daemon').length;
  }
}
