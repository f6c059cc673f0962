/**
 * Gives an order of the holder of the promotion duty to every daemon that may hold evidence.
 *
 * The holder's copy of the store may be behind: before a promotion the register is read from the store itself, so that a
 * daemon that registered a moment ago is asked to let go as well.
 *
 * @packageDocumentation
 */
import { delay } from '../common/signal.js';
import type { DaemonRecord } from './daemon-record.js';
import type { HolderOrder, OrderOutcome } from './peer-mesh.js';
import { hasSameAddress } from './registration.js';

/** Longest wait for the register, in milliseconds: a slow store takes some hundred. */
const REGISTER_MS = 600;

/** Stands for the daemons of a register that could not be read. */
const UNREAD = 'daemons of an unread register';

/** How an order went, by daemon. */
export type OrderOutcomes = ReadonlyMap<string, OrderOutcome>;

/** Which daemons are given an order: those of these names that are known, or all but these that are registered by now. */
export type Recipients = { readonly only: ReadonlySet<string> } | { readonly except: ReadonlySet<string> };

/** What the delivery needs. */
export interface OrderPorts {
  /** Daemons that this one knows. */
  known(): readonly DaemonRecord[];
  /** Daemons whose lease runs, read from the store itself. */
  readRegister(): Promise<readonly DaemonRecord[]>;
  /** True while the store may lack some that run: it has come back from a copy a moment ago. */
  isRegisterBehind(): boolean;
  send(records: readonly DaemonRecord[], order: HolderOrder, timeoutMs: number): Promise<OrderOutcomes>;
}

/** Gives an order to all other daemons. A register that cannot be read, or lacks some, counts as a daemon that is silent. */
export async function deliverOrder(
  ports: OrderPorts,
  order: HolderOrder,
  timeoutMs: number,
): Promise<OrderOutcomes> {
  const known = ports.known();
  const toKnown = ports.send(known, order, timeoutMs);
  if (order.kind !== 'revoke' && order.kind !== 'seal') return toKnown;
  const toOthers = deliverToUnknown(ports, known, order, timeoutMs);
  return new Map([...(await toKnown), ...(await toOthers)]);
}

async function deliverToUnknown(
  ports: OrderPorts,
  known: readonly DaemonRecord[],
  order: HolderOrder,
  timeoutMs: number,
): Promise<OrderOutcomes> {
  const reading = ports.readRegister().catch(() => null);
  const register = await Promise.race([reading, delay(REGISTER_MS).then(() => null)]);
  if (register === null) return new Map([[UNREAD, { kind: 'silent' }]]);
  const unknown = register.filter((record) => !known.some((other) => hasSameAddress(record, other)));
  const outcomes = await ports.send(unknown, order, timeoutMs);
  return ports.isRegisterBehind() ? new Map([...outcomes, [UNREAD, { kind: 'silent' }]]) : outcomes;
}
