/**
 * Collects from the logs of daemons what decided one request: its own lines, and what happened to its group meanwhile. Pure.
 *
 * @packageDocumentation
 */
import type { LogLine } from './log-line.js';

/** Events of a group that decide what becomes of its requests. */
const GROUP_EVENTS: ReadonlySet<string> = new Set([
  'evidence_gained',
  'evidence_lapsed',
  'member_in',
  'member_leaves',
  'member_out',
  'member_reborn',
  'member_role',
  'member_suspected',
  'order',
  'promotion_begins',
  'promotion_call',
  'promotion_ends',
  'promotion_given_up',
  'replica_resumed',
]);

/** Events of a daemon as a whole that decide what becomes of its requests. */
const DAEMON_EVENTS: ReadonlySet<string> = new Set([
  'configuration_adopted',
  'configuration_rejected',
  'lines_dropped',
  'loop_failed',
  'started',
  'stopped',
  'stopping',
  'store_lost',
  'store_regained',
]);

/** How far around a request's lines the surroundings are looked at, in milliseconds. */
const AROUND_MS = 2000;

/** What the logs tell of a request. */
export interface RequestExplanation {
  readonly requestId: string;
  /** The decisions that touched it, in order. */
  readonly decisions: readonly LogLine[];
  /** What happened to its group, and to the daemons that had it, around that time. */
  readonly surroundings: readonly LogLine[];
  /** How it ended, if a line says so: the line of its refusal. */
  readonly end: LogLine | null;
}

/** Explains a request; `null` when no line names it. */
export function explainRequest(
  requestId: string,
  lines: readonly LogLine[],
  aroundMs = AROUND_MS,
): RequestExplanation | null {
  const decisions = lines.filter(({ fields }) => fields.get('requestId') === requestId).sort(byTime);
  const [first] = decisions;
  const last = decisions.at(-1);
  if (first === undefined || last === undefined) return null;
  const end = decisions.find(({ event }) => event === 'refused') ?? null;
  const heldMs = Number(end?.fields.get('heldMs') ?? 0);
  const fromMs = Math.min(Date.parse(first.time), Date.parse(last.time) - heldMs) - aroundMs;
  const untilMs = Date.parse(last.time) + aroundMs;
  const groups = new Set(decisions.map(({ fields }) => fields.get('group')));
  const members = new Set(decisions.map(({ fields }) => fields.get('member')));
  const nodes = new Set(decisions.map(({ node }) => node));
  const surroundings = lines.filter((line) => {
    const atMs = Date.parse(line.time);
    if (atMs < fromMs || atMs > untilMs) return false;
    if (DAEMON_EVENTS.has(line.event)) return nodes.has(line.node);
    if (!GROUP_EVENTS.has(line.event)) return false;
    const group = line.fields.get('group') ?? line.fields.get('groupName');
    return (group !== undefined && groups.has(group)) || isNamed(members, line.fields.get('member'));
  });
  return { requestId, decisions, surroundings: surroundings.sort(byTime), end };
}

function isNamed(members: ReadonlySet<string | undefined>, member: string | undefined): boolean {
  return member !== undefined && members.has(member);
}

function byTime(left: LogLine, right: LogLine): number {
  return Date.parse(left.time) - Date.parse(right.time);
}
