/**
 * A search over everything that the holder of the duty can do to have a replica lead, against everything that members and the platform can do
 * meanwhile: is there an order of moves by which an empty member never leads, though whoever is named may start again, with nothing, before
 * the platform acts?
 *
 * The commit is held by both replicas, `a` and `b`; the leader has ended. After each move of the holder the others may do any number of theirs, and
 * it then sees all that has happened: that is more than a daemon knows. A move that waits is followed by one of theirs, if they have any.
 *
 * The page is read in several ways where it is silent; see {@link Reading}.
 *
 * @packageDocumentation
 */

/** How the page is read. */
export interface Reading {
  /** The platform makes a member lead that is paused for a later term, or was told to step down from one. */
  readonly actsOnFenced: boolean;
  /** The platform acts on whoever goes by the id; otherwise on the life that stood when it was called. */
  readonly actsById: boolean;
  /** A call is dropped when the platform would act while the member does not run. */
  readonly dropsGone: boolean;
  /** A replica that is ahead of a new leader is rolled back, also while it is paused. */
  readonly rollsBackPaused: boolean;
}

export type MemberName = 'a' | 'b';
const NAMES: readonly MemberName[] = ['a', 'b'];
const OTHER: Readonly<Record<MemberName, MemberName>> = { a: 'b', b: 'a' };

/** A move of the holder. */
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
  readonly holdsAll: boolean;
  readonly isRunning: boolean;
  readonly life: number;
  readonly isPaused: boolean;
  /** It was told to step down from a later term. */
  readonly isDemoted: boolean;
  readonly leads: boolean;
}

/** A call of the platform that may act: the life that was named, or `null` for none. */
type Calls = Readonly<Record<MemberName, number | null>>;

interface State {
  readonly replicas: Readonly<Record<MemberName, Replica>>;
  readonly calls: Calls;
  readonly hasNamed: boolean;
}

const FRESH: Replica = {
  holdsAll: true,
  isRunning: true,
  life: 0,
  isPaused: true,
  isDemoted: false,
  leads: false,
};
const START: State = { replicas: { a: FRESH, b: FRESH }, calls: { a: null, b: null }, hasNamed: false };
/** Lives of a member that are told apart: more add nothing, since a life that has ended matters no more. */
const MOST_LIVES = 2;

/** How a play ended under the best moves of both sides. */
export type Verdict =
  /** A member that holds all leads, no empty one ever has, and no open call can make one lead. */
  | 'led'
  /** An empty member has led. */
  | 'empty_led'
  /** Nobody leads, and nobody was named. */
  | 'nobody_named'
  /** The moves are used up while nobody leads. */
  | 'undecided';

const RANK: Readonly<Record<Verdict, number>> = { empty_led: 0, undecided: 1, nobody_named: 2, led: 3 };

/** What the best play of the holder comes to, and its first moves. */
export interface Outcome {
  readonly verdict: Verdict;
  readonly moves: readonly Move[];
}

/** Plays all orders of moves. */
export class NamedMemberSearch {
  readonly #known = new Map<string, Outcome>();
  /** Positions that were looked at. */
  get positions(): number {
    return this.#known.size;
  }

  constructor(
    private readonly reading: Reading,
    private readonly mostMoves: number,
    /** Members that may start again once they are named. */
    private readonly unsteady: readonly MemberName[] = NAMES,
  ) {}

  /** The best that the holder can bring about. */
  best(): Outcome {
    return this.#bestOf(START, this.mostMoves);
  }

  /** The best that it can bring about after a call. */
  bestWithACall(): Outcome {
    const first: Outcome[] = NAMES.map((member) =>
      this.#after(START, { kind: 'call', member }, this.mostMoves),
    );
    return first.reduce(better);
  }

  #bestOf(state: State, movesLeft: number): Outcome {
    const settled = this.#settled(state);
    if (settled !== null) return { verdict: settled, moves: [] };
    if (movesLeft === 0) return { verdict: state.hasNamed ? 'undecided' : 'nobody_named', moves: [] };
    const key = JSON.stringify([state, movesLeft]);
    const known = this.#known.get(key);
    if (known !== undefined) return known;
    const best = MOVES.map((move) => this.#after(state, move, movesLeft)).reduce(better);
    this.#known.set(key, best);
    return best;
  }

  /** The worst that the others can make of a move. */
  #after(state: State, move: Move, movesLeft: number): Outcome {
    const moved = this.#move(state, move);
    const replies = [...this.#reachable(moved)].map((text) => JSON.parse(text) as State);
    const isIdle = move.kind === 'wait' && replies.length > 1;
    const possible = isIdle ? replies.slice(1) : replies;
    const worst = possible.map((reply) => this.#bestOf(reply, movesLeft - 1)).reduce(worse);
    return { verdict: worst.verdict, moves: [move, ...worst.moves] };
  }

  #settled(state: State): Verdict | null {
    const { replicas } = state;
    if (NAMES.some((name) => replicas[name].leads && !replicas[name].holdsAll)) return 'empty_led';
    const leader = NAMES.find((name) => replicas[name].leads);
    // An open call for the other one may make it lead later, when it has started again.
    return leader !== undefined && state.calls[OTHER[leader]] === null ? 'led' : null;
  }

  #move(state: State, move: Move): State {
    if (move.kind === 'wait') return state;
    const replica = state.replicas[move.member];
    if (!replica.isRunning) return state;
    switch (move.kind) {
      case 'call':
        return { ...state, calls: { ...state.calls, [move.member]: replica.life }, hasNamed: true };
      case 'pause':
        return put(state, move.member, { ...replica, isPaused: true });
      case 'resume':
        return put(state, move.member, { ...replica, isPaused: false });
      case 'demote':
        return put(state, move.member, { ...replica, isDemoted: true, leads: false });
    }
  }

  /** All that members and platform can bring about without the holder; first what stands if they do nothing. */
  #reachable(from: State): ReadonlySet<string> {
    const found = new Set<string>();
    const open = [from];
    for (let state = open.pop(); state !== undefined; state = open.pop()) {
      const key = JSON.stringify(state);
      if (found.has(key)) continue;
      found.add(key);
      if (this.#settled(state) === 'empty_led') continue;
      for (const name of NAMES) {
        if (state.calls[name] === null) continue;
        open.push(...this.#restart(state, name));
        open.push(this.#act(state, name));
      }
    }
    return found;
  }

  /** A member that is named ends, or starts again with nothing; one that leads stays. */
  #restart(state: State, name: MemberName): readonly State[] {
    const replica = state.replicas[name];
    if (replica.leads || !this.unsteady.includes(name)) return [];
    if (replica.isRunning) return [put(state, name, { ...replica, isRunning: false, holdsAll: false })];
    if (replica.life >= MOST_LIVES) return [];
    const next = { ...FRESH, life: replica.life + 1, holdsAll: false, isPaused: false };
    return [put(state, name, next)];
  }

  /** The platform acts on a call. */
  #act(state: State, name: MemberName): State {
    const replica = state.replicas[name];
    const called = state.calls[name];
    const answered = { ...state, calls: { ...state.calls, [name]: null } };
    if (!replica.isRunning) return this.reading.dropsGone ? answered : state;
    if (!this.reading.actsById && replica.life !== called) return answered;
    const isFenced = replica.isPaused || replica.isDemoted;
    if (isFenced && !this.reading.actsOnFenced) return answered;
    const other = state.replicas[OTHER[name]];
    const isCut = !replica.holdsAll && (this.reading.rollsBackPaused || !other.isPaused);
    const led = put(answered, name, { ...replica, leads: true, isPaused: false });
    return put(led, OTHER[name], { ...other, leads: false, holdsAll: other.holdsAll && !isCut });
  }
}

function put(state: State, name: MemberName, replica: Replica): State {
  return { ...state, replicas: { ...state.replicas, [name]: replica } };
}

function better(one: Outcome, other: Outcome): Outcome {
  return RANK[other.verdict] > RANK[one.verdict] ? other : one;
}

function worse(one: Outcome, other: Outcome): Outcome {
  return RANK[other.verdict] < RANK[one.verdict] ? other : one;
}

/** A move in words. */
export function describeMove(move: Move): string {
  return move.kind === 'wait' ? 'wait' : `${move.kind} ${move.member}`;
}
