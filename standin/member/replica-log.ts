/**
 * The replicated log of one member stand-in: terms, election and replication after the Raft paper
 * (Ongaro and Ousterhout, 2014), without persistence. A primary that is cut off goes on believing it leads
 * and, in `asynchronous` mode, goes on acknowledging.
 *
 * @packageDocumentation
 */
import type { Change } from './tables.js';

/** One transaction in the log. */
export interface LogEntry {
  readonly term: number;
  readonly index: number;
  readonly changes: readonly Change[];
  /** Session that wrote it, for checkers. */
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
  /** Index of this member in its group: spreads the election timeouts. */
  readonly electionRank: number;
  readonly initialPrimary: boolean;
  readonly now: () => number;
}

/** What the log needs from its surroundings. */
export interface ReplicaLogPorts {
  send(peerId: string, message: GroupMessage): void;
  apply(entry: LogEntry): void;
  /** Forget everything applied: the log was cut below what was applied. */
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
  readonly #matched = new Map<string, number>();
  readonly #nextIndex = new Map<string, number>();
  #votedFor: string | null = null;
  #votes = new Set<string>();
  #campaigning = false;
  #applied = 0;
  #pendingApply: PendingApply[] = [];
  #lastHeardMs: number;
  #lastSentMs = 0;
  #canLead = true;
  #majorityWaiters: { readonly index: number; readonly resolve: (done: boolean) => void }[] = [];

  constructor(
    private readonly options: ReplicaLogOptions,
    private readonly ports: ReplicaLogPorts,
  ) {
    this.applyLagMs = options.applyLagMs;
    this.#lastHeardMs = options.now();
    if (options.initialPrimary) this.#lastHeardMs -= this.#electionDelay();
  }

  /** Last entry received, as term and index. */
  get received(): { readonly term: number; readonly index: number } {
    return this.#positionAt(this.#entries.length);
  }

  /** Last entry applied, as term and index. */
  get applied(): { readonly term: number; readonly index: number } {
    return this.#positionAt(this.#applied);
  }

  /** All entries, oldest first. */
  get entries(): readonly LogEntry[] {
    return this.#entries;
  }

  /** Stops this member from leading and hands the lead to the most advanced peer. */
  stepDownForGood(): void {
    this.#canLead = false;
    if (this.role !== 'primary') return;
    const [successor] = [...this.#matched.entries()].sort((a, b) => b[1] - a[1])[0] ?? [];
    this.#becomeReplica();
    if (successor !== undefined)
      this.ports.send(successor, { kind: 'takeOver', term: this.term, from: this.options.memberId });
  }

  /** Appends a transaction on the primary and applies it at once. */
  append(changes: readonly Change[], session: number): LogEntry {
    const entry = { term: this.term, index: this.#entries.length + 1, changes, session };
    this.#entries.push(entry);
    this.#applyNow(entry);
    this.#replicate();
    return entry;
  }

  /** Resolves to true once a majority has received `index`, to false when this member stops leading. */
  waitForMajority(index: number): Promise<boolean> {
    if (this.#majorityIndex() >= index) return Promise.resolve(true);
    return new Promise((resolve) => this.#majorityWaiters.push({ index, resolve }));
  }

  /** Periodic work: heartbeats, elections, delayed application. */
  tick(): void {
    const now = this.options.now();
    if (this.role === 'primary') {
      if (now - this.#lastSentMs >= this.options.heartbeatIntervalMs) this.#replicate();
    } else if (this.#canLead && now - this.#lastHeardMs >= this.#electionDelay()) {
      this.#campaign(false);
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
        if (this.#canLead && message.term === this.term) this.#campaign(true);
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
    this.#campaigning = false;
    if (this.role === 'primary') this.#becomeReplica();
  }

  #becomeReplica(): void {
    this.role = 'replica';
    this.#lastHeardMs = this.options.now();
    for (const waiter of this.#majorityWaiters.splice(0)) waiter.resolve(false);
    this.ports.roleChanged('replica');
  }

  #campaign(forced: boolean): void {
    this.term += 1;
    this.#votedFor = this.options.memberId;
    this.#votes = new Set([this.options.memberId]);
    this.#campaigning = true;
    this.#lastHeardMs = this.options.now();
    const { index: lastIndex, term: lastTerm } = this.received;
    for (const peerId of this.options.peerIds) {
      this.ports.send(peerId, {
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
    const heardRecently = this.options.now() - this.#lastHeardMs < this.options.electionTimeoutMs;
    const believesInPrimary =
      this.role === 'primary' || (heardRecently && !this.#campaigning && this.term > 0);
    if (believesInPrimary && !message.forced) return;
    if (message.term > this.term) this.#adoptTerm(message.term);
    const own = this.received;
    const upToDate =
      message.lastTerm > own.term || (message.lastTerm === own.term && message.lastIndex >= own.index);
    const granted =
      message.term === this.term && upToDate && (this.#votedFor === null || this.#votedFor === message.from);
    if (granted) {
      this.#votedFor = message.from;
      this.#lastHeardMs = this.options.now();
    }
    this.ports.send(message.from, {
      kind: 'voteReply',
      term: this.term,
      from: this.options.memberId,
      granted,
    });
  }

  #handleVoteReply(message: Extract<GroupMessage, { kind: 'voteReply' }>): void {
    if (!this.#campaigning || message.term !== this.term || !message.granted) return;
    this.#votes.add(message.from);
    this.#countVotes();
  }

  #countVotes(): void {
    if (this.#votes.size <= (this.options.peerIds.length + 1) / 2) return;
    this.#campaigning = false;
    this.role = 'primary';
    this.#matched.clear();
    for (const peerId of this.options.peerIds) this.#nextIndex.set(peerId, this.#entries.length + 1);
    this.#applyAllPending();
    this.ports.roleChanged('primary');
    this.append([], 0);
  }

  #replicate(): void {
    this.#lastSentMs = this.options.now();
    for (const peerId of this.options.peerIds) this.#sendAppend(peerId);
  }

  #sendAppend(peerId: string): void {
    const next = this.#nextIndex.get(peerId) ?? this.#entries.length + 1;
    const previous = this.#positionAt(next - 1);
    const entries = this.#entries.slice(next - 1, next - 1 + MAX_ENTRIES_PER_MESSAGE);
    this.#nextIndex.set(peerId, next + entries.length);
    this.ports.send(peerId, {
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
      this.ports.send(message.from, {
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
    this.#lastHeardMs = this.options.now();
    this.#campaigning = false;
    if (
      this.#positionAt(message.previousIndex).term !== message.previousTerm ||
      message.previousIndex > this.#entries.length
    ) {
      reply(false, Math.min(this.#entries.length, message.previousIndex - 1));
      return;
    }
    for (const entry of message.entries) this.#store(entry);
    reply(true, message.previousIndex + message.entries.length);
  }

  #store(entry: LogEntry): void {
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
    if (this.#applied <= length) return;
    this.ports.reset();
    this.#applied = 0;
    for (const entry of this.#entries) this.#applyNow(entry);
  }

  #handleAppendReply(message: Extract<GroupMessage, { kind: 'appendReply' }>): void {
    if (this.role !== 'primary' || message.term !== this.term) return;
    if (!message.success) {
      this.#nextIndex.set(message.from, message.received + 1);
      this.#sendAppend(message.from);
      return;
    }
    const matched = Math.max(this.#matched.get(message.from) ?? 0, message.received);
    this.#matched.set(message.from, matched);
    if ((this.#nextIndex.get(message.from) ?? 0) <= matched) this.#nextIndex.set(message.from, matched + 1);
    this.#wakeMajorityWaiters();
  }

  #majorityIndex(): number {
    const indexes = [
      this.#entries.length,
      ...this.options.peerIds.map((peerId) => this.#matched.get(peerId) ?? 0),
    ];
    indexes.sort((a, b) => b - a);
    return indexes[Math.floor(indexes.length / 2)] ?? 0;
  }

  #wakeMajorityWaiters(): void {
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
    this.#applied = entry.index;
    this.ports.apply(entry);
  }
}
