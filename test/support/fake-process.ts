/**
 * A process of a member with a given log position, for tests of restarted leaders.
 *
 * @packageDocumentation
 */
import { hasReached, type Position } from '../../src/position/position.js';
import type {
  MemberDialer,
  MemberLink,
  MemberReply,
  MemberRequest,
  MemberStatus,
} from '../../src/relay/member-link.js';

/** Term that a process leads if it is a primary. */
export const PROCESS_TERM = 1;

/** Reads the status of a {@link FakeProcess} from its reply. */
export function readFakeStatus({ rows }: MemberReply): MemberStatus | null {
  return JSON.parse(rows[0] ?? 'null') as MemberStatus | null;
}

/** A process that answers every request at once with its log position. */
export class FakeProcess implements MemberDialer {
  readonly requests: MemberRequest[] = [];
  /** Statements that have run. */
  runs = 0;
  /** Runs before each answer to a statement or the begin of a transaction. */
  beforeAnswer: () => void = () => undefined;

  constructor(
    public position: Position,
    readonly isPrimary: boolean,
  ) {}

  get status(): MemberStatus {
    return {
      isPrimary: this.isPrimary,
      term: this.isPrimary ? PROCESS_TERM : 0,
      received: this.position,
      pausedForTerm: 0,
    };
  }

  get statements(): number {
    return this.requests.filter(({ kind }) => kind === 'statement').length;
  }

  get statusRequests(): number {
    return this.requests.filter(({ kind }) => kind === 'status').length;
  }

  dial(): Promise<MemberLink> {
    let isOpen = true;
    const link = {
      get isOpen(): boolean {
        return isOpen;
      },
      openedAt: this.position,
      lastReceivedMs: 0,
      send: (request: MemberRequest): Promise<MemberReply> => {
        this.requests.push(request);
        if (request.kind === 'statement' || request.kind === 'begin') {
          this.beforeAnswer();
          if (request.after !== null && !hasReached(this.position, request.after))
            return Promise.resolve(this.#refuse());
          if (request.kind === 'statement') this.runs += 1;
        }
        const state = request.kind === 'begin' || request.kind === 'statement' ? 'open' : 'idle';
        return Promise.resolve({
          rows: request.kind === 'status' ? [JSON.stringify(this.status)] : [],
          result: { isComplete: true as const, signature: 's' },
          state: this.requests.some(({ kind }) => kind === 'begin') ? state : ('idle' as const),
          position: this.position,
        });
      },
      close: (): void => void (isOpen = false),
      onClosed: (): void => undefined,
    };
    return Promise.resolve(link);
  }

  #refuse(): MemberReply {
    const result = { isComplete: false, code: 'behind', text: 'LAGGING' } as const;
    return { rows: [], result, state: 'idle', position: this.position };
  }
}
