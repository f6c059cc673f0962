/**
 * The mechanisms taken out one by one: each proof must fail without the mechanism that it is about.
 *
 * @packageDocumentation
 */

/** One mechanism taken out of the built program. */
export interface Mutation {
  readonly property: string;
  /** File of the build, from its root. */
  readonly file: string;
  /** Text to replace; it must be there. */
  readonly search: string;
  readonly replacement: string;
  /** Test file and the pattern of the test names that must fail. */
  readonly testFile: string;
  readonly testName: string;
}

const FAULTS = 'test/integration/faults-under-load.test.js';
const ISOLATION = 'test/integration/isolation.test.js';
const PAUSED = 'test/integration/paused-daemon.test.js';
const LEAVING = 'test/integration/leaving.test.js';
const CONFIGURATION = 'test/integration/configuration.test.js';

const TENANCY = 'src/tenancy/tenancy.test.js';
const LIVES = 'src/topology/member-lives.property.test.js';
const QUOTA = 'src/quota/quota.test.js';

const FOREIGN_ENTRIES = 'platform/test/foreign-entries.test.js';
const FOREIGN_KEYS = 'src/coordination/foreign-keys.test.js';

/** All mutations. */
export const MUTATIONS: readonly Mutation[] = [
  {
    property: 'entries: a member whose entry cannot be read is out of use',
    file: 'platform/directory.js',
    search: 'this.directory.unreadable(memberId.value);',
    replacement: '',
    testFile: FOREIGN_ENTRIES,
    testName: 'no member to use until it is good again',
  },
  {
    property: 'entries: a member that goes over to another service is out of use in the first',
    file: 'platform/directory.js',
    search: 'if (isElsewhere)',
    replacement: 'if (false)',
    testFile: FOREIGN_ENTRIES,
    testName: 'goes over to another service',
  },
  {
    property: 'entries: a start is a whole number',
    file: 'platform/wire-schemas.js',
    search: 'born: z.optional(count)',
    replacement: 'born: z.optional(z.number())',
    testFile: FOREIGN_ENTRIES,
    testName: 'fractional start',
  },
  {
    property: 'entries: a listener that throws keeps nobody from being told',
    file: 'src/coordination/watched-store.js',
    search: "this.#faults.tell('listener_failed'",
    replacement: "throw error; this.#faults.tell('listener_failed'",
    testFile: 'src/coordination/watched-store.test.js',
    testName: 'listeners throw',
  },
  {
    property: 'entries: the fence rises also where it cannot be read',
    file: 'src/coordination/duty-record.js',
    search: 'item?.revision ?? 0',
    replacement: '0',
    testFile: FOREIGN_KEYS,
    testName: 'neither it nor the record',
  },
  {
    property: 'entries: nobody speaks for another daemon',
    file: 'src/cluster/daemon-record.js',
    search: 'reading.value.name !== name',
    replacement: 'false',
    testFile: FOREIGN_KEYS,
    testName: 'the name of another daemon',
  },
  {
    property: 'keys: a proof of a configuration that has not come renews nothing',
    file: 'src/tenancy/configuration-lease.js',
    search: 'if (proof.revision > this.#heldRevision)',
    replacement: 'if (false)',
    testFile: TENANCY,
    testName: 'whatever is late, lost or handed on',
  },
  {
    property: 'keys: the lease ends',
    file: 'src/tenancy/configuration-lease.js',
    search: 'nowMs - this.#held.provenAtMs < this.boundMs - SAFETY_MS',
    replacement: 'true',
    testFile: TENANCY,
    testName: 'whatever is late, lost or handed on',
  },
  {
    property: 'keys: a proof that is handed on keeps its age',
    file: 'src/tenancy/configuration-lease.js',
    search: 'ageMs < this.boundMs ? { revision: this.#latest.revision, ageMs }',
    replacement: 'ageMs < this.boundMs ? { revision: this.#latest.revision, ageMs: 0 }',
    testFile: TENANCY,
    testName: 'whatever is late, lost or handed on',
  },
  {
    property: 'keys: the moment of a proof is that before the question',
    file: 'src/tenancy/lease-renewal.js',
    search: 'provenAtMs: askedAtMs - ageMs',
    replacement: 'provenAtMs: now() - ageMs',
    testFile: 'src/tenancy/lease-renewal.test.js',
    testName: 'however late the answer',
  },
  {
    property: 'keys: statements of open transactions are authorized',
    file: 'src/relay/session.js',
    search: "answer.code === 'unauthorized'",
    replacement: 'false',
    testFile: 'platform/test/tenants.test.js',
    testName: 'keys and tenants|ends open sessions and transactions',
  },
  {
    property: 'tenants: connections are not handed on',
    file: 'src/relay/link-pool.js',
    search: '(tenantName === null || link.tenantName === tenantName)',
    replacement: 'true',
    testFile: 'src/relay/link-pool-tenants.test.js',
    testName: 'never handed to another tenant',
  },
  {
    property: 'quotas: grants end',
    file: 'src/quota/operation-quotas.js',
    search: '(account.grants[0] ?? 0) <= nowMs',
    replacement: 'false',
    testFile: QUOTA,
    testName: 'not used soon',
  },
  {
    property: 'quotas: a stand-in begins with nothing',
    file: 'src/quota/quota-home.js',
    search: '`${share} ${home.name} ${home.life} ${tenantName}`, nowMs)',
    replacement: '`${share} ${home.name} ${home.life} ${tenantName}`, 0)',
    testFile: QUOTA,
    testName: 'at 1,000 daemons',
  },
  {
    property: 'quotas: a home that moved drops its bucket',
    file: 'src/quota/quota-home.js',
    search: 'this.#buckets.delete(tenantName);',
    replacement: ';',
    testFile: QUOTA,
    testName: 'was no home for a while',
  },
  {
    property: 'read your writes: a request that arrives after its sender gave up is not begun',
    file: 'src/peer/peer-server.js',
    search: '() => performance.now() < sender.waitsUntilMs',
    replacement: '() => true',
    testFile: 'src/peer/peer-link.test.js',
    testName: 'is not to be begun',
  },
  {
    property: 'read your writes: session positions',
    file: 'src/session/session-positions.js',
    search: 'return laterPosition(this.#floor, this.#positions.get(session) ?? ZERO_POSITION);',
    replacement: 'return ZERO_POSITION;',
    testFile: FAULTS,
    testName: 'replicas behind',
  },
  {
    property: 'read your writes: floor of a new owner',
    file: 'src/ownership/database-controller.js',
    search: 'engine.positions.raiseFloor(floor);',
    replacement: '',
    testFile: 'test/integration/read-your-writes.test.js',
    testName: 'the owner, which alone knew',
  },
  {
    property: 'no acknowledgement from a replaced primary: evidence',
    file: 'src/group/commit-evidence.js',
    search: 'const majority = majorityOf(this.memberCount);',
    replacement: "return 'confirmed';",
    testFile: FAULTS,
    testName: 'the zone of the primary is cut off|the primary hears nothing',
  },
  {
    property: 'transactions stay together: pinning',
    file: 'src/engine/request-runner.js',
    search: "if (outcome.status === 'I')\n            stream.unpin('release');",
    replacement: "if (true)\n            stream.unpin('release');",
    testFile: FAULTS,
    testName: 'replicas behind',
  },
  {
    property: 'whole answer to its own request: connections of overdue requests are ended',
    file: 'src/engine/request-runner.js',
    search: "const { stream, sink } = execution;\n        stream.unpin('destroy');",
    replacement: "const { stream, sink } = execution;\n        stream.unpin('release');",
    testFile: ISOLATION,
    testName: 'late answer',
  },
  {
    property: 'not run is true: doubt after a lost attempt',
    file: 'src/engine/doubtful-sink.js',
    search: "error.verdict === 'not_run' ? doubt(error) : error",
    replacement: 'error',
    testFile: 'src/entry/request-router.test.js',
    testName: 'found no owner may have run',
  },
  {
    property: 'once only: the key in the transaction of the write',
    file: 'src/engine/once-keys.js',
    search: 'return `INSERT INTO',
    replacement: "return 'SELECT 1'; `INSERT INTO",
    testFile: ISOLATION,
    testName: 'one once-only key',
  },
  {
    property: 'a leaving member gets no new work',
    file: 'src/group/group-monitor.js',
    search: 'isLeaving: (status?.leaving ?? false) || this.options.isListedAsLeaving(address.memberId),',
    replacement: 'isLeaving: false,',
    testFile: LEAVING,
    testName: 'machine list says',
  },
  {
    property: 'a planned stop cuts nothing: drain',
    file: 'src/daemon/daemon.js',
    search: 'const { drainTimeoutMs } = this.settings.timing;',
    replacement: 'const drainTimeoutMs = 1;',
    testFile: LEAVING,
    testName: 'a stop of the owner',
  },
  {
    property: 'configuration never reverts: start-up gate',
    file: 'src/configuration/startup-gate.js',
    search: 'if (!hasMajority && !(this.#storeAnswered && hasGivenGrace))',
    replacement: 'if (false)',
    testFile: CONFIGURATION,
    testName: 'serves nothing',
  },
  {
    property: 'connection limit: fencing of the earlier owner',
    file: 'src/member/member-monitor.js',
    search: 'await this.#ask(connection, FENCE_STATEMENT);',
    replacement: '',
    testFile: PAUSED,
    testName: 'connections of a paused owner',
  },
  {
    property: 'transactions stay together: a lost one is not continued',
    file: 'src/engine/database-engine.js',
    search: "if (request.continues !== 'nothing' && stream.pinned === null) {",
    replacement: 'if (false) {',
    testFile: PAUSED,
    testName: 'not continued outside',
  },
  {
    property: 'a resumed daemon runs no old requests',
    file: 'src/entry/client-connection.js',
    search: 'if (this.options.mayReadBeOld()) {',
    replacement: 'if (false) {',
    testFile: PAUSED,
    testName: 'waited in a paused daemon',
  },
  {
    property: 'lives: an older life that is told late changes nothing',
    file: 'src/topology/incarnation.js',
    search: "? 'younger' : 'older'",
    replacement: "? 'younger' : 'same'",
    testFile: LIVES,
    testName: 'one living member at most',
  },
  {
    property: 'lives: a younger start is another member',
    file: 'src/topology/incarnation.js',
    search: "? 'younger' : 'older'",
    replacement: "? 'same' : 'older'",
    testFile: LIVES,
    testName: 'one living member at most',
  },
  {
    property: 'lives: connections in use end with the life',
    file: 'src/topology/member-directory.js',
    search: 'member.pool.end();',
    replacement: 'member.pool.own.close();',
    testFile: LIVES,
    testName: 'one living member at most',
  },
  {
    property: 'lives: who holds a member learns that its life has ended',
    file: 'src/topology/member-directory.js',
    search: 'member.hasEnded = true;',
    replacement: '',
    testFile: LIVES,
    testName: 'one living member at most',
  },
  {
    property: 'lives: a life that ended is kept in mind',
    file: 'src/topology/member-directory.js',
    search: 'member.missingSinceMs = this.options.now();\n            this.#cutOff(member);',
    replacement: 'group.dropFormer(member);\n            this.#cutOff(member);',
    testFile: LIVES,
    testName: 'one living member at most',
  },
  {
    property: 'lives: what was unlisted is remembered',
    file: 'src/topology/member-directory.js',
    search: 'this.options.now() - unlistedSinceMs < FORMER_MS',
    replacement: 'false',
    testFile: 'src/topology/member-directory.test.js',
    testName: 'where nobody watches the group',
  },
  {
    property: 'lives: the lead of an earlier life ends',
    file: 'src/topology/member-directory.js',
    search: 'if (group.evidence.leader?.memberId !== memberId)\n            return;',
    replacement: 'return;',
    testFile: LIVES,
    testName: 'one living member at most',
  },
  {
    property: 'lives: a retired life does not stand in the way of the next',
    file: 'src/topology/member-directory.js',
    search: 'isReadable: true, isRetired: false };',
    replacement: 'isReadable: true, isRetired: this.#known.get(entry.memberId)?.isRetired ?? false };',
    testFile: LIVES,
    testName: 'one living member at most',
  },
  {
    property: 'lives: a former member that comes back keeps its connections',
    file: 'src/topology/member-directory.js',
    search: 'member.pool.own.reopen();',
    replacement: '',
    testFile: LIVES,
    testName: 'one living member at most',
  },
  {
    property: 'lives: a pool that has ended tells of no trouble',
    file: 'src/relay/link-pool.js',
    search: 'if (this.#hasEnded)\n            return;',
    replacement: '',
    testFile: 'src/relay/link-pool.test.js',
    testName: 'tells those who wait',
  },
  {
    property: 'lives: trouble of an ended life is not that of the next',
    file: 'src/relay/leader-doubts.js',
    search: 'if (member.hasEnded)\n            return;',
    replacement: '',
    testFile: 'src/relay/leader-doubts.test.js',
    testName: 'says nothing of the next one',
  },
  {
    property: 'lives: an ended life is asked nothing',
    file: 'src/leadership/member-control.js',
    search: 'if (member.hasEnded)\n            return REFUSED;',
    replacement: '',
    testFile: 'src/leadership/member-control.test.js',
    testName: 'is asked nothing',
  },
  {
    property: 'lives: an answer that comes after the end of a life says nothing',
    file: 'src/leadership/member-control.js',
    search: 'return member.hasEnded ? REFUSED : answer;',
    replacement: 'return answer;',
    testFile: 'src/leadership/member-control.test.js',
    testName: 'has said nothing',
  },
  {
    property: 'lives: an own connection that is being opened is not left to the next life',
    file: 'src/leadership/member-control.js',
    search: 'this.#dials.delete(memberId);\n        this.#endOwnLink',
    replacement: 'this.#endOwnLink',
    testFile: 'src/leadership/member-control.test.js',
    testName: 'leaves no own connection',
  },
  {
    property: 'lives: loans of an ended life end',
    file: 'src/gateway/loan.js',
    search: 'this.options.pool === pool && this.#link !== null',
    replacement: 'false',
    testFile: 'src/gateway/gateway-server.test.js',
    testName: 'before its next request',
  },
  {
    property: 'lives: a borrower ends its loans',
    file: 'src/gateway/member-connections.js',
    search: 'for (const link of [...this.#borrowed])',
    replacement: 'for (const link of [])',
    testFile: 'src/gateway/member-connections.test.js',
    testName: 'ends its loans',
  },
  {
    property: 'lives: assignments follow the entry',
    file: 'src/gateway/assignments.js',
    search: 'isAssignedAlike(known.entry, entry)',
    replacement: 'true',
    testFile: 'src/gateway/assignments.test.js',
    testName: 'assigned anew',
  },
];
