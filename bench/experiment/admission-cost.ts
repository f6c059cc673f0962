/**
 * Measures the cost of the decisions of a {@link WaitQueue}, in a single process.
 *
 * @packageDocumentation
 */
import { WaitQueue } from '../../src/admission/wait-queue.js';
import type { LinkDemand } from '../../src/relay/link-queue.js';

const WAITING = 5000;
const TENANTS = 200;
const PRIORITIES = 3;
const ROUNDS = 200_000;
const SERVICE_MS = 5;
/** Time between two rounds, in milliseconds: a member of 4 slots serves as many requests. */
const ROUND_MS = SERVICE_MS / 4;
/** Latency objectives of the routes, by priority, in milliseconds. */
const TARGETS_MS = [100, 200, 600] as const;

/** Mean costs, in microseconds, with 5,000 waiting requests and 200 tenants. */
export interface AdmissionCost {
  /** Adding a request below the bound. */
  readonly addUs: number;
  /** Adding a request at the bound, including the removal of the one that would be served last. */
  readonly addWhenFullUs: number;
  /** Taking the next request for a released connection, and charging its use. */
  readonly takeUs: number;
  /** Removing a request whose wait was cancelled. */
  readonly removeUs: number;
  readonly countAheadUs: number;
  /** Choosing the request for which a connection is opened, while two are being opened. */
  readonly peekWithoutDialUs: number;
}

/** Costs with requests of all tenants, and with requests of a single one. */
export interface AdmissionCosts {
  readonly manyTenants: AdmissionCost;
  readonly oneTenant: AdmissionCost;
}

/** Measures sequentially, so on one core. Each measurement is preceded by a warm-up of the same length. */
export function measureAdmission(): AdmissionCosts {
  return { manyTenants: measure(TENANTS), oneTenant: measure(1) };
}

/** A queue that is kept at the same number of requests, with the time that advances round by round. */
class Load {
  readonly queue: WaitQueue<number>;
  nowMs = 0;
  /** Items are numbered in order of arrival. */
  nextItem = 0;
  #nextToCancel = 0;

  constructor(
    private readonly tenants: number,
    maxWaiting: number,
  ) {
    this.queue = new WaitQueue<number>({ maxWaiting });
    this.fill();
  }

  demand(item: number): LinkDemand {
    const priority = item % PRIORITIES;
    // Half of the requests are late on arrival, as in a backlog.
    const dueAtMs = this.nowMs + (item % 2) * (TARGETS_MS[priority] ?? 0);
    const tenantName = `tenant-${(item * 7919) % this.tenants}`;
    return { tenantName, values: new Map(), isWrite: false, priority, dueAtMs };
  }

  add(): number | null {
    const item = this.nextItem++;
    return this.queue.add(item, this.demand(item), this.nowMs, SERVICE_MS);
  }

  fill(): void {
    while (this.queue.size < WAITING) this.add();
  }

  take(): void {
    const tenantName = `tenant-${(this.nextItem * 31) % this.tenants}`;
    if (this.queue.takeFor(tenantName, this.nowMs, SERVICE_MS) === undefined) return;
    const use = this.queue.beginUse(this.demand(this.nextItem), this.nowMs, SERVICE_MS);
    this.queue.endUse(use, this.nowMs + SERVICE_MS);
  }

  /** Cancels one of the requests that wait, in the order of arrival. */
  cancel(): void {
    while (!this.queue.remove(this.#nextToCancel)) this.#nextToCancel += 1;
  }
}

function measure(tenants: number): AdmissionCost {
  const load = new Load(tenants, Number.POSITIVE_INFINITY);
  const full = new Load(tenants, WAITING);
  const dialing = ['tenant-0', `tenant-${tenants - 1}`];
  const { queue } = load;
  const refill = (): void => load.fill();
  return {
    addUs: costUs(
      load,
      () => load.add(),
      () => load.take(),
    ),
    addWhenFullUs: costUs(full, () => full.add()),
    takeUs: costUs(load, () => load.take(), refill),
    removeUs: costUs(load, () => load.cancel(), refill),
    countAheadUs: costUs(load, () => queue.countAhead(load.demand(load.nextItem), load.nowMs, SERVICE_MS)),
    peekWithoutDialUs: costUs(load, () => queue.peekWithoutDial(dialing, load.nowMs, SERVICE_MS)),
  };
}

/**
 * Mean duration of an operation, in microseconds.
 *
 * @param restore - restores the number of waiting requests after each operation; not included
 */
function costUs(load: Load, operation: () => unknown, restore: () => void = () => undefined): number {
  runRounds(load, operation, restore);
  return (runRounds(load, operation, restore) * 1000) / ROUNDS;
}

/** Total duration of the operations, in milliseconds. */
function runRounds(load: Load, operation: () => unknown, restore: () => void): number {
  let totalMs = 0;
  for (let round = 0; round < ROUNDS; round += 1) {
    const startMs = performance.now();
    operation();
    totalMs += performance.now() - startMs;
    restore();
    load.nowMs += ROUND_MS;
  }
  return totalMs;
}
