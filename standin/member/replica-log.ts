/**
 * The replicated log of one member stand-in: terms, elections and replication as in the Raft paper
 * (Ongaro and Ousterhout, 2014), without persistence. A partitioned primary does not step down and, in
 * `asynchronous` mode, keeps acknowledging commits.
 *
 * @packageDocumentation
 */
import type { Change } from './tables.js';

/** One transaction in the log. */
export interface LogEntry {
  readonly term: number;
  readonly index: number;
  readonly changes: readonly Change[];
  /** Process id of the session that wrote it; read by history checkers. */
  readonly session: number;
}

/** Messages between the members of a group. */
export type GroupMessage =
  | {
      readonly kind: 'append';
      readonly term: number;
      readonly from: string;
      readonly previousIndex: number;
      readonly previousTerm: number;
      readonly entries: readonly LogEntry[];
    }
  | {
      readonly kind: 'appendReply';
      readonly term: number;
      readonly from: string;
      readonly success: boolean;
      readonly received: number;
    }
  | {
      readonly kind: 'voteRequest';
      readonly term: number;
      readonly from: string;
      readonly lastIndex: number;
      readonly lastTerm: number;
      readonly forced: boolean;
    }
  | { readonly kind: 'voteReply'; readonly term: number; readonly from: string; readonly granted: boolean }
  | { readonly kind: 'takeOver'; readonly term: number; readonly from: string };

/** Role of a member in its group. */
export type MemberRole = 'primary' | 'replica';

/** Settings of the replicated log; times in milliseconds. */
export interface ReplicaLogOptions {
  readonly memberId: string;
  readonly peerIds: readonly string[];
  readonly heartbeatIntervalMs: number;
  readonly electionTimeoutMs: number;
  /** Delay before a replica applies what it has received. */
  readonly applyLagMs: number;
  /** Index of this member in its group; staggers the election timeouts. */
  readonly electionRank: number;
  readonly initialPrimary: boolean;
  readonly now: () => number;
}

/** Callbacks through which the log sends messages, applies entries and reports role changes. */
export interface ReplicaLogCallbacks {
  send(peerId: string, message: GroupMessage): void;
  apply(entry: LogEntry): void;
  /** Discards the applied state, because the log was truncated below the applied index. */
  reset(): void;
  roleChanged(role: MemberRole): void;
}

const MAX_ENTRIES_PER_MESSAGE = 500;

interface PendingApply {
  readonly entry: LogEntry;
  readonly dueMs: number;
}

/** Log, term and role of one member. */
export class ReplicaLog {
  role: MemberRole = 'replica';
  term = 0;
  applyLagMs: number;
  readonly #entries: LogEntry[] = [];
  readonly #matchIndex = new Map<string, number>();
  readonly #nextIndex = new Map<string, number>();
  #votedFor: string | null = null;
  #votes = new Set<string>();
  #isCandidate = false;
  #appliedIndex = 0;
  #pendingApply: PendingApply[] = [];
  #lastLeaderContactMs: number;
  #lastReplicationMs = 0;
  #canBecomePrimary = true;
  #majorityWaiters: { readonly index: number; readonly resolve: (done: boolean) => void }[] = [];

  constructor(
    private readonly options: ReplicaLogOptions,
    private readonly callbacks: ReplicaLogCallbacks,
  ) {
    this.applyLagMs = options.applyLagMs;
    this.#lastLeaderContactMs = options.now();
    if (options.initialPrimary) this.#lastLeaderContactMs -= this.#electionDelay();
  }

  /** Last entry received, as term and index. */
  get received(): { readonly term: number; readonly index: number } {
    return this.#positionAt(this.#entries.length);
  }

  /** Last entry applied, as term and index. */
  get applied(): { readonly term: number; readonly index: number } {
    return this.#positionAt(this.#appliedIndex);
  }

  /** All entries, oldest first. */
  get entries(): readonly LogEntry[] {
    return this.#entries;
  }

  /** Steps down for good and asks the most up-to-date peer to start an election. */
  stepDownPermanently(): void {
    this.#canBecomePrimary = false;
    if (this.role !== 'primary') return;
    const [successor] = [...this.#matchIndex.entries()].sort((a, b) => b[1] - a[1])[0] ?? [];
    this.#becomeReplica();
    if (successor !== undefined)
      this.callbacks.send(successor, { kind: 'takeOver', term: this.term, from: this.options.memberId });
  }

  /** Appends a transaction on the primary, applies it immediately and replicates it. */
  append(changes: readonly Change[], session: number): LogEntry {
    const entry = { term: this.term, index: this.#entries.length + 1, changes, session };
    this.#entries.push(entry);
    this.#applyNow(entry);
    this.#replicate();
    return entry;
  }

  /** Resolves to true once a majority has received `index`, to false when this member steps down. */
  waitForMajority(index: number): Promise<boolean> {
    if (this.#majorityIndex() >= index) return Promise.resolve(true);
    return new Promise((resolve) => this.#majorityWaiters.push({ index, resolve }));
  }

  /** Periodic work: heartbeats, elections, delayed application. */
  tick(): void {
    const now = this.options.now();
    if (this.role === 'primary') {
      if (now - this.#lastReplicationMs >= this.options.heartbeatIntervalMs) this.#replicate();
    } else if (this.#canBecomePrimary && now - this.#lastLeaderContactMs >= this.#electionDelay()) {
      this.#startElection(false);
    }
    this.#applyDue(now);
  }

  /** Handles a message from a peer. */
  receive(message: GroupMessage): void {
    if (message.kind === 'voteRequest') {
      this.#handleVoteRequest(message);
      return;
    }
    if (message.term > this.term) this.#adoptTerm(message.term);
    switch (message.kind) {
      case 'append':
        this.#handleAppend(message);
        break;
      case 'appendReply':
        this.#handleAppendReply(message);
        break;
      case 'voteReply':
        this.#handleVoteReply(message);
        break;
      case 'takeOver':
        if (this.#canBecomePrimary && message.term === this.term) this.#startElection(true);
        break;
    }
  }

  #electionDelay(): number {
    const { electionTimeoutMs, electionRank } = this.options;
    return electionTimeoutMs * (1 + electionRank * 0.25);
  }

  #positionAt(index: number): { readonly term: number; readonly index: number } {
    return { term: this.#entries[index - 1]?.term ?? 0, index };
  }

  #adoptTerm(term: number): void {
    this.term = term;
    this.#votedFor = null;
    this.#isCandidate = false;
    if (this.role === 'primary') this.#becomeReplica();
  }

  #becomeReplica(): void {
    this.role = 'replica';
    this.#lastLeaderContactMs = this.options.now();
    for (const waiter of this.#majorityWaiters.splice(0)) waiter.resolve(false);
    this.callbacks.roleChanged('replica');
  }

  #startElection(forced: boolean): void {
    this.term += 1;
    this.#votedFor = this.options.memberId;
    this.#votes = new Set([this.options.memberId]);
    this.#isCandidate = true;
    this.#lastLeaderContactMs = this.options.now();
    const { index: lastIndex, term: lastTerm } = this.received;
    for (const peerId of this.options.peerIds) {
      this.callbacks.send(peerId, {
        kind: 'voteRequest',
        term: this.term,
        from: this.options.memberId,
        lastIndex,
        lastTerm,
        forced,
      });
    }
    this.#countVotes();
  }

  #handleVoteRequest(message: Extract<GroupMessage, { kind: 'voteRequest' }>): void {
    const hasRecentContact = this.options.now() - this.#lastLeaderContactMs < this.options.electionTimeoutMs;
    const hasLivePrimary =
      this.role === 'primary' || (hasRecentContact && !this.#isCandidate && this.term > 0);
    if (hasLivePrimary && !message.forced) return;
    if (message.term > this.term) this.#adoptTerm(message.term);
    const own = this.received;
    const upToDate =
      message.lastTerm > own.term || (message.lastTerm === own.term && message.lastIndex >= own.index);
    const granted =
      message.term === this.term && upToDate && (this.#votedFor === null || this.#votedFor === message.from);
    if (granted) {
      this.#votedFor = message.from;
      this.#lastLeaderContactMs = this.options.now();
    }
    this.callbacks.send(message.from, {
      kind: 'voteReply',
      term: this.term,
      from: this.options.memberId,
      granted,
    });
  }

  #handleVoteReply(message: Extract<GroupMessage, { kind: 'voteReply' }>): void {
    if (!this.#isCandidate || message.term !== this.term || !message.granted) return;
    this.#votes.add(message.from);
    this.#countVotes();
  }

  #countVotes(): void {
    if (this.#votes.size <= (this.options.peerIds.length + 1) / 2) return;
    this.#isCandidate = false;
    this.role = 'primary';
    this.#matchIndex.clear();
    for (const peerId of this.options.peerIds) this.#nextIndex.set(peerId, this.#entries.length + 1);
    this.#applyAllPending();
    this.callbacks.roleChanged('primary');
    this.append([], 0);
  }

  #replicate(): void {
    this.#lastReplicationMs = this.options.now();
    for (const peerId of this.options.peerIds) this.#sendAppend(peerId);
  }

  #sendAppend(peerId: string): void {
    const next = this.#nextIndex.get(peerId) ?? this.#entries.length + 1;
    const previous = this.#positionAt(next - 1);
    const entries = this.#entries.slice(next - 1, next - 1 + MAX_ENTRIES_PER_MESSAGE);
    this.#nextIndex.set(peerId, next + entries.length);
    this.callbacks.send(peerId, {
      kind: 'append',
      term: this.term,
      from: this.options.memberId,
      previousIndex: previous.index,
      previousTerm: previous.term,
      entries,
    });
  }

  #handleAppend(message: Extract<GroupMessage, { kind: 'append' }>): void {
    const reply = (success: boolean, received: number): void =>
      this.callbacks.send(message.from, {
        kind: 'appendReply',
        term: this.term,
        from: this.options.memberId,
        success,
        received,
      });
    if (message.term < this.term) {
      reply(false, 0);
      return;
    }
    this.#lastLeaderContactMs = this.options.now();
    this.#isCandidate = false;
    if (
      this.#positionAt(message.previousIndex).term !== message.previousTerm ||
      message.previousIndex > this.#entries.length
    ) {
      reply(false, Math.min(this.#entries.length, message.previousIndex - 1));
      return;
    }
    for (const entry of message.entries) this.#storeEntry(entry);
    reply(true, message.previousIndex + message.entries.length);
  }

  #storeEntry(entry: LogEntry): void {
    const existing = this.#entries[entry.index - 1];
    if (existing !== undefined && existing.term === entry.term) return;
    if (existing !== undefined) this.#truncate(entry.index - 1);
    this.#entries.push(entry);
    this.#pendingApply.push({ entry, dueMs: this.options.now() + this.applyLagMs });
    if (this.applyLagMs === 0) this.#applyDue(this.options.now());
  }

  #truncate(length: number): void {
    this.#entries.length = length;
    this.#pendingApply = this.#pendingApply.filter(({ entry }) => entry.index <= length);
    if (this.#appliedIndex <= length) return;
    this.callbacks.reset();
    this.#appliedIndex = 0;
    for (const entry of this.#entries) this.#applyNow(entry);
  }

  #handleAppendReply(message: Extract<GroupMessage, { kind: 'appendReply' }>): void {
    if (this.role !== 'primary' || message.term !== this.term) return;
    if (!message.success) {
      this.#nextIndex.set(message.from, message.received + 1);
      this.#sendAppend(message.from);
      return;
    }
    const matchIndex = Math.max(this.#matchIndex.get(message.from) ?? 0, message.received);
    this.#matchIndex.set(message.from, matchIndex);
    if ((this.#nextIndex.get(message.from) ?? 0) <= matchIndex)
      this.#nextIndex.set(message.from, matchIndex + 1);
    this.#resolveMajorityWaiters();
  }

  #majorityIndex(): number {
    const indexes = [
      this.#entries.length,
      ...this.options.peerIds.map((peerId) => this.#matchIndex.get(peerId) ?? 0),
    ];
    indexes.sort((a, b) => b - a);
    return indexes[Math.floor(indexes.length / 2)] ?? 0;
  }

  #resolveMajorityWaiters(): void {
    const reached = this.#majorityIndex();
    this.#majorityWaiters = this.#majorityWaiters.filter((waiter) => {
      if (waiter.index > reached) return true;
      waiter.resolve(true);
      return false;
    });
  }

  #applyDue(now: number): void {
    while (this.#pendingApply[0] !== undefined && this.#pendingApply[0].dueMs <= now) {
      const pending = this.#pendingApply.shift();
      if (pending !== undefined) this.#applyNow(pending.entry);
    }
  }

  #applyAllPending(): void {
    for (const { entry } of this.#pendingApply.splice(0)) this.#applyNow(entry);
  }

  #applyNow(entry: LogEntry): void {
    this.#appliedIndex = entry.index;
    this.callbacks.apply(entry);
  }
}
