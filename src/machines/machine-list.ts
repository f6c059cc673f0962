/**
 * The platform's list of live and leaving machines. It lags, so it is a hint: where to find other daemons, and
 * which members are about to leave.
 *
 * @packageDocumentation
 */
import { z } from 'zod';
import { requestIfChanged, type JsonHttpOptions } from '../store/json-http.js';

const machineSchema = z.object({
  id: z.string(),
  kind: z.enum(['daemon', 'member']),
  zone: z.string(),
  host: z.string(),
  port: z.number().int(),
  state: z.enum(['live', 'leaving']),
});

const listSchema = z.object({ machines: z.array(machineSchema) });

/** One machine of the list. */
export type Machine = z.infer<typeof machineSchema>;

/** Asks for the list again and again and keeps the last answer. */
export class MachineList {
  /** Bytes of requests and answers so far, without the protocols below HTTP. */
  traffic = 0;
  #machines: readonly Machine[] = [];
  #entityTag: string | null = null;
  #timer: NodeJS.Timeout | null = null;

  /** @param http - where the list is; `null` when there is none */
  constructor(
    private readonly http: JsonHttpOptions | null,
    private readonly intervalMs: number,
    /** Called after each answer, also when nothing has changed. */
    private readonly onAnswer: () => void,
  ) {}

  /** The machines as last heard. */
  get machines(): readonly Machine[] {
    return this.#machines;
  }

  /** Asks for the list now; keeps the last one when there is no answer. */
  async refresh(): Promise<void> {
    if (this.http === null) return;
    try {
      const answer = await requestIfChanged(this.http, '/v1/machines', this.#entityTag);
      this.traffic += answer.bytes;
      if (answer.kind === 'changed') this.#adopt(answer.body, answer.entityTag);
      this.onAnswer();
    } catch {
      // The list is a hint: without an answer the last one stands.
    }
  }

  #adopt(body: unknown, entityTag: string | null): void {
    const result = listSchema.safeParse(body);
    if (!result.success) return;
    this.#entityTag = entityTag;
    this.#machines = result.data.machines;
  }

  /** Starts to ask regularly. */
  start(): void {
    this.#timer = setInterval(() => void this.refresh(), this.intervalMs);
  }

  /** Stops to ask. */
  stop(): void {
    if (this.#timer !== null) clearInterval(this.#timer);
  }

  /** True when the list says that a member leaves. */
  isMemberLeaving(memberId: string): boolean {
    return this.#machines.some(
      ({ id, kind, state }) => kind === 'member' && id === memberId && state === 'leaving',
    );
  }

  /** Number of daemons on the list. */
  get daemonCount(): number {
    return this.#machines.filter(({ kind }) => kind === 'daemon').length;
  }
}
