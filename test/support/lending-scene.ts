/**
 * Gateways that lend connections to one member, and a borrower whose paths to them can be cut.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../../src/cluster/daemon-record.js';
import { GatewayClient } from '../../src/gateway/gateway-client.js';
import { GatewayServer } from '../../src/gateway/gateway-server.js';
import type { LinkPool } from '../../src/relay/link-pool.js';
import type { MemberRequest } from '../../src/relay/member-link.js';
import { PROCESS_TERM } from './fake-process.js';
import { FaultProxy } from '../../standin/rig/fault-proxy.js';
import { daemonRecord } from './daemon-records.js';
import { createLeaderScene, now, type LeaderScene } from './leader-scene.js';
import { createTestGroup } from './relay-members.js';
import { SlowLink } from './slow-link.js';
import { createLenderPool, createLenderResources } from './lender.js';

const BORROWER_ZONE = 'borrower';
/** Interval between two checks of the borrower, in milliseconds, as in a daemon. */
const CHECK_INTERVAL_MS = 50;
/** Distance between the port that the borrower uses and the port that the gateway listens on. */
const PORT_OFFSET = 100;

/** A connection to the member that counts the requests it has received. */
class CountingLink extends SlowLink {
  override readonly openedAt = { term: 1, index: 5 };
  readonly received: MemberRequest[] = [];

  override send(request: MemberRequest): ReturnType<SlowLink['send']> {
    this.received.push(request);
    return super.send(request);
  }
}

/** A gateway with at most one connection to the member. */
export class TestLender {
  readonly record: DaemonRecord;
  readonly server: GatewayServer;
  readonly pool: LinkPool;
  /** Connections that the member has accepted. */
  readonly links: CountingLink[] = [];

  constructor(name: string, host: string, gatewayPort: number) {
    this.record = daemonRecord(name, { host, gatewayPort });
    this.pool = createLenderPool({
      dial: () => {
        const link = new CountingLink();
        this.links.push(link);
        return Promise.resolve(link);
      },
    });
    this.server = new GatewayServer({
      ...createLenderResources(() => this.pool),
      leaderCheck: () => ({ isProven: () => true, isReplaced: () => false, readStatus: () => null }),
    });
  }

  /** Statements that the member has received through this gateway. */
  get statements(): number {
    return this.statementIds.length;
  }

  /** Request ids of the statements that the member has received through this gateway. */
  get statementIds(): readonly string[] {
    const received = this.links.flatMap((link) => link.received);
    return received.flatMap((request) => (request.kind === 'statement' ? [request.requestId] : []));
  }

  /** Answers the oldest request that the member has received; false if there is none. */
  answer(): boolean {
    return this.links.some((link) => link.answer());
  }
}

/** A borrower and its gateways. */
export class LendingScene {
  readonly proxy = new FaultProxy();
  /** Takes the first of the gateways with the fewest loans. */
  readonly client: GatewayClient;
  readonly #lenders: TestLender[] = [];
  readonly #timers: NodeJS.Timeout[] = [];

  constructor(private readonly host: string) {
    this.proxy.registerSource(host, BORROWER_ZONE);
    this.client = new GatewayClient(
      host,
      () => performance.now(),
      () => 0,
    );
    this.#timers.push(setInterval(() => this.client.check(), CHECK_INTERVAL_MS));
  }

  /** A group whose only member is the leader, which the borrower reaches through the gateways. */
  leaderBehind(lenders: readonly TestLender[]): LeaderScene {
    const [record = daemonRecord('none'), ...others] = lenders.map((lender) => lender.record);
    const dialer = { dial: () => Promise.reject(new Error('no own connection is to be opened')) };
    const group = createTestGroup({ leader: dialer }, now, { client: this.client, record, others });
    const renew = (): boolean => group.evidence.recordWitness(PROCESS_TERM, 0, now());
    this.#timers.push(setInterval(renew, CHECK_INTERVAL_MS));
    return createLeaderScene(group, { term: PROCESS_TERM, index: 5 });
  }

  /** Starts a gateway that the borrower reaches at the given port. */
  async addLender(name: string, port: number): Promise<TestLender> {
    const lender = new TestLender(name, this.host, port);
    this.#lenders.push(lender);
    const targetPort = port + PORT_OFFSET;
    await lender.server.listen(this.host, targetPort);
    await this.proxy.forward({ zone: name, listenHost: this.host, port, targetHost: this.host, targetPort });
    return lender;
  }

  /** Holds all traffic between the borrower and a gateway. */
  silence(lender: TestLender): void {
    this.proxy.isolate(lender.record.name, [BORROWER_ZONE]);
  }

  /** Stops everything. */
  close(): void {
    for (const timer of this.#timers) clearInterval(timer);
    this.client.close();
    this.proxy.close();
    for (const { server } of this.#lenders) server.close();
  }
}
