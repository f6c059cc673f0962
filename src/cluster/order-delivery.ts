/**
 * Delivers an order of the promotion duty's holder to every daemon that may hold leadership evidence.
 *
 * The holder's local copy of the store may be stale. Before a promotion the registry is therefore read from
 * the store itself, so that a daemon that has only just registered is asked to revoke its evidence as well.
 *
 * @packageDocumentation
 */
import { delay } from '../common/signal.js';
import type { DaemonRecord } from './daemon-record.js';
import type { HolderOrder, OrderOutcome } from './peer-mesh.js';
import { hasSameAddress } from './registration.js';

/** Timeout for reading the registry, in milliseconds; a slow store takes a few hundred. */
const REGISTRY_TIMEOUT_MS = 600;

/** Placeholder name in the outcomes for daemons that the registry did not yield. */
const UNREAD_DAEMONS = 'daemons missing from the registry';

/** Outcome of an order, by daemon name. */
export type OrderOutcomes = ReadonlyMap<string, OrderOutcome>;

/** Recipients of an order: the known daemons with these names, or all registered daemons except these. */
export type Recipients = { readonly only: ReadonlySet<string> } | { readonly except: ReadonlySet<string> };

/** What the delivery depends on. */
export interface OrderPorts {
  /** Daemons that this daemon knows. */
  known(): readonly DaemonRecord[];
  /** Daemons with a live lease, read from the store itself. */
  readRegistry(): Promise<readonly DaemonRecord[]>;
  /**
   * True while the registry may lack running daemons, because the store was recently restored from a backup.
   */
  isRegistryIncomplete(): boolean;
  send(records: readonly DaemonRecord[], order: HolderOrder, timeoutMs: number): Promise<OrderOutcomes>;
}

/**
 * Delivers an order to all other daemons. A registry that cannot be read or may be incomplete counts as one
 * daemon that did not answer.
 */
export async function deliverOrder(
  ports: OrderPorts,
  order: HolderOrder,
  timeoutMs: number,
): Promise<OrderOutcomes> {
  const known = ports.known();
  const knownOutcomes = ports.send(known, order, timeoutMs);
  if (order.kind !== 'revoke' && order.kind !== 'seal') return knownOutcomes;
  const unknownOutcomes = deliverToUnknownDaemons(ports, known, order, timeoutMs);
  return joinOutcomes(await knownOutcomes, await unknownOutcomes);
}

/**
 * The registry names the later process of a daemon that both name, unless the store was restored. So its outcome
 * counts, but the end of the process that it names says nothing of the other one.
 */
function joinOutcomes(known: OrderOutcomes, registered: OrderOutcomes): OrderOutcomes {
  const joined = new Map(known);
  for (const [name, outcome] of registered)
    if (outcome.kind !== 'gone' || known.get(name)?.kind !== 'silent') joined.set(name, outcome);
  return joined;
}

async function deliverToUnknownDaemons(
  ports: OrderPorts,
  known: readonly DaemonRecord[],
  order: HolderOrder,
  timeoutMs: number,
): Promise<OrderOutcomes> {
  const reading = ports.readRegistry().catch(() => null);
  const registered = await Promise.race([reading, delay(REGISTRY_TIMEOUT_MS).then(() => null)]);
  if (registered === null) return new Map([[UNREAD_DAEMONS, { kind: 'silent' }]]);
  // Another process than the known one of the same daemon is to answer for itself.
  const isKnown = (record: DaemonRecord): boolean =>
    known.some((other) => hasSameAddress(record, other) && record.life === other.life);
  const unknown = registered.filter((record) => !isKnown(record));
  const outcomes = await ports.send(unknown, order, timeoutMs);
  return ports.isRegistryIncomplete()
    ? new Map([...outcomes, [UNREAD_DAEMONS, { kind: 'silent' }]])
    : outcomes;
}
