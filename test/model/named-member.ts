/**
 * Exhaustive minimax search over the actions of the holder of the promotion duty, which wants a replica to be
 * promoted, against all actions of members and platform. It decides whether some strategy of the holder
 * prevents that an empty member leads, although each member named in a call may restart without its data
 * before the platform acts on the call.
 *
 * Both replicas, `a` and `b`, have the commit; the leader has ended. After each move of the holder, members
 * and platform may make any number of moves, and the holder then observes the complete state, which is more
 * than a daemon can know. A `wait` is followed by at least one move of theirs if they have any.
 *
 * The documentation of the platform leaves some points open; {@link PlatformModel} covers the alternatives.
 *
 * @packageDocumentation
 */

/** Assumptions about the behaviour of the platform where its documentation leaves it open. */
export interface PlatformModel {
  /** The platform also promotes a member that is paused for a later term, or was demoted from one. */
  readonly promotesFenced: boolean;
  /**
   * The platform promotes any incarnation with the id; otherwise only the one that ran when it was called.
   */
  readonly matchesIdOnly: boolean;
  /** A call is discarded if the member is not running when the platform acts on it. */
  readonly dropsCallsToStopped: boolean;
  /** A replica that is ahead of a new leader is rolled back even while it is paused. */
  readonly rollsBackPausedReplicas: boolean;
}

export type MemberName = 'a' | 'b';
const NAMES: readonly MemberName[] = ['a', 'b'];
const OTHER: Readonly<Record<MemberName, MemberName>> = { a: 'b', b: 'a' };

/** A move of the holder of the duty. */
export type Move =
  | { readonly kind: 'call' | 'pause' | 'resume' | 'demote'; readonly member: MemberName }
  | { readonly kind: 'wait' };

const MOVES: readonly Move[] = [
  ...NAMES.flatMap((member): Move[] => [
    { kind: 'call', member },
    { kind: 'pause', member },
    { kind: 'resume', member },
    { kind: 'demote', member },
  ]),
  { kind: 'wait' },
];

/** One replica. */
interface Replica {
  readonly hasCommit: boolean;
  readonly isRunning: boolean;
  readonly incarnation: number;
  readonly isPaused: boolean;
  /** The member was told to step down from a later term. */
  readonly isDemoted: boolean;
  readonly leads: boolean;
}

/** Open call by member: the incarnation that it names, or `null` if no call is open. */
type Calls = Readonly<Record<MemberName, number | null>>;

interface State {
  readonly replicas: Readonly<Record<MemberName, Replica>>;
  readonly calls: Calls;
  readonly hasCalled: boolean;
}

const INITIAL_REPLICA: Replica = {
  hasCommit: true,
  isRunning: true,
  incarnation: 0,
  isPaused: true,
  isDemoted: false,
  leads: false,
};
const START: State = {
  replicas: { a: INITIAL_REPLICA, b: INITIAL_REPLICA },
  calls: { a: null, b: null },
  hasCalled: false,
};
/** Incarnations of a member that are distinguished. More add nothing: an ended one has no further effect. */
const MAX_INCARNATIONS = 2;

/** Result of optimal moves of both sides. */
export type Verdict =
  /** A member with the commit leads, no empty one ever did, and no open call can promote one. */
  | 'led'
  /** An empty member has led. */
  | 'empty_led'
  /** No member leads, and no call was made. */
  | 'nobody_named'
  /** The moves are used up and no member leads. */
  | 'undecided';

const RANK: Readonly<Record<Verdict, number>> = { empty_led: 0, undecided: 1, nobody_named: 2, led: 3 };

/** Result of the best strategy of the holder, and its moves. */
export interface Outcome {
  readonly verdict: Verdict;
  readonly moves: readonly Move[];
}

/** Searches all sequences of moves, up to a number of moves of the holder. */
export class NamedMemberSearch {
  readonly #memo = new Map<string, Outcome>();
  /** Number of positions examined. */
  get positions(): number {
    return this.#memo.size;
  }

  constructor(
    private readonly platform: PlatformModel,
    private readonly maxMoves: number,
    /** Members that may restart once a call names them. */
    private readonly restartable: readonly MemberName[] = NAMES,
  ) {}

  /** The best result that the holder can force. */
  best(): Outcome {
    return this.#bestOf(START, this.maxMoves);
  }

  /** The best result that the holder can force if its first move is a call. */
  bestStartingWithCall(): Outcome {
    const first: Outcome[] = NAMES.map((member) =>
      this.#outcomeOfMove(START, { kind: 'call', member }, this.maxMoves),
    );
    return first.reduce(betterOutcome);
  }

  #bestOf(state: State, movesLeft: number): Outcome {
    const settled = this.#terminalVerdict(state);
    if (settled !== null) return { verdict: settled, moves: [] };
    if (movesLeft === 0) return { verdict: state.hasCalled ? 'undecided' : 'nobody_named', moves: [] };
    const key = JSON.stringify([state, movesLeft]);
    const memoized = this.#memo.get(key);
    if (memoized !== undefined) return memoized;
    const best = MOVES.map((move) => this.#outcomeOfMove(state, move, movesLeft)).reduce(betterOutcome);
    this.#memo.set(key, best);
    return best;
  }

  /** The worst result for the holder that members and platform can force after a move. */
  #outcomeOfMove(state: State, move: Move, movesLeft: number): Outcome {
    const moved = this.#applyMove(state, move);
    const replies = [...this.#reachable(moved)].map((text) => JSON.parse(text) as State);
    const isIdle = move.kind === 'wait' && replies.length > 1;
    const possible = isIdle ? replies.slice(1) : replies;
    const worst = possible.map((reply) => this.#bestOf(reply, movesLeft - 1)).reduce(worseOutcome);
    return { verdict: worst.verdict, moves: [move, ...worst.moves] };
  }

  #terminalVerdict(state: State): Verdict | null {
    const { replicas } = state;
    if (NAMES.some((name) => replicas[name].leads && !replicas[name].hasCommit)) return 'empty_led';
    const leader = NAMES.find((name) => replicas[name].leads);
    // An open call may still promote the other member later, after it has restarted.
    return leader !== undefined && state.calls[OTHER[leader]] === null ? 'led' : null;
  }

  #applyMove(state: State, move: Move): State {
    if (move.kind === 'wait') return state;
    const replica = state.replicas[move.member];
    if (!replica.isRunning) return state;
    switch (move.kind) {
      case 'call':
        return { ...state, calls: { ...state.calls, [move.member]: replica.incarnation }, hasCalled: true };
      case 'pause':
        return withReplica(state, move.member, { ...replica, isPaused: true });
      case 'resume':
        return withReplica(state, move.member, { ...replica, isPaused: false });
      case 'demote':
        return withReplica(state, move.member, { ...replica, isDemoted: true, leads: false });
    }
  }

  /** All states that members and platform can reach on their own; the first is the unchanged state. */
  #reachable(from: State): ReadonlySet<string> {
    const found = new Set<string>();
    const open = [from];
    for (let state = open.pop(); state !== undefined; state = open.pop()) {
      const key = JSON.stringify(state);
      if (found.has(key)) continue;
      found.add(key);
      if (this.#terminalVerdict(state) === 'empty_led') continue;
      for (const name of NAMES) {
        if (state.calls[name] === null) continue;
        open.push(...this.#restart(state, name));
        open.push(this.#applyCall(state, name));
      }
    }
    return found;
  }

  /** A member named in a call stops, or restarts without its data; a leader does neither. */
  #restart(state: State, name: MemberName): readonly State[] {
    const replica = state.replicas[name];
    if (replica.leads || !this.restartable.includes(name)) return [];
    if (replica.isRunning)
      return [withReplica(state, name, { ...replica, isRunning: false, hasCommit: false })];
    if (replica.incarnation >= MAX_INCARNATIONS) return [];
    const next = {
      ...INITIAL_REPLICA,
      incarnation: replica.incarnation + 1,
      hasCommit: false,
      isPaused: false,
    };
    return [withReplica(state, name, next)];
  }

  /** The platform acts on an open call. */
  #applyCall(state: State, name: MemberName): State {
    const replica = state.replicas[name];
    const calledIncarnation = state.calls[name];
    const withoutCall = { ...state, calls: { ...state.calls, [name]: null } };
    if (!replica.isRunning) return this.platform.dropsCallsToStopped ? withoutCall : state;
    if (!this.platform.matchesIdOnly && replica.incarnation !== calledIncarnation) return withoutCall;
    const isFenced = replica.isPaused || replica.isDemoted;
    if (isFenced && !this.platform.promotesFenced) return withoutCall;
    const other = state.replicas[OTHER[name]];
    const isRolledBack = !replica.hasCommit && (this.platform.rollsBackPausedReplicas || !other.isPaused);
    const led = withReplica(withoutCall, name, { ...replica, leads: true, isPaused: false });
    return withReplica(led, OTHER[name], {
      ...other,
      leads: false,
      hasCommit: other.hasCommit && !isRolledBack,
    });
  }
}

function withReplica(state: State, name: MemberName, replica: Replica): State {
  return { ...state, replicas: { ...state.replicas, [name]: replica } };
}

function betterOutcome(one: Outcome, other: Outcome): Outcome {
  return RANK[other.verdict] > RANK[one.verdict] ? other : one;
}

function worseOutcome(one: Outcome, other: Outcome): Outcome {
  return RANK[other.verdict] < RANK[one.verdict] ? other : one;
}

/** Formats a move for messages. */
export function describeMove(move: Move): string {
  return move.kind === 'wait' ? 'wait' : `${move.kind} ${move.member}`;
}
