/**
 * Selects the log lines that explain the outcome of one request: its own, and the events of its group and
 * daemons during that time. Pure.
 *
 * @packageDocumentation
 */
import type { LogLine } from './log-line.js';

/** Events of a group that influence the outcome of its requests. */
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

/** Events of a daemon as a whole that influence the outcome of its requests. */
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

/** Default time before and after a request in which other events are included, in milliseconds. */
const DEFAULT_CONTEXT_MS = 2000;

/** The log lines that concern a request. */
export interface RequestExplanation {
  readonly requestId: string;
  /** Lines of the request itself, in order of time. */
  readonly decisions: readonly LogLine[];
  /** Events of its group and members and of the daemons that handled it, around that time. */
  readonly surroundings: readonly LogLine[];
  /** The line of its refusal; `null` when it was not refused. */
  readonly end: LogLine | null;
}

/** Explains a request; `null` when no line carries its id. */
export function explainRequest(
  requestId: string,
  lines: readonly LogLine[],
  contextMs = DEFAULT_CONTEXT_MS,
): RequestExplanation | null {
  const decisions = lines.filter(({ fields }) => fields.get('requestId') === requestId).sort(compareByTime);
  const [first] = decisions;
  const last = decisions.at(-1);
  if (first === undefined || last === undefined) return null;
  const end = decisions.find(({ event }) => event === 'refused') ?? null;
  const heldMs = Number(end?.fields.get('heldMs') ?? 0);
  const fromMs = Math.min(Date.parse(first.time), Date.parse(last.time) - heldMs) - contextMs;
  const untilMs = Date.parse(last.time) + contextMs;
  const groups = new Set(decisions.map(({ fields }) => fields.get('group')));
  const members = new Set(decisions.map(({ fields }) => fields.get('member')));
  const nodes = new Set(decisions.map(({ node }) => node));
  const surroundings = lines.filter((line) => {
    const atMs = Date.parse(line.time);
    if (atMs < fromMs || atMs > untilMs) return false;
    if (DAEMON_EVENTS.has(line.event)) return nodes.has(line.node);
    if (!GROUP_EVENTS.has(line.event)) return false;
    const group = line.fields.get('group') ?? line.fields.get('groupName');
    return (group !== undefined && groups.has(group)) || includesMember(members, line.fields.get('member'));
  });
  return { requestId, decisions, surroundings: surroundings.sort(compareByTime), end };
}

function includesMember(members: ReadonlySet<string | undefined>, member: string | undefined): boolean {
  return member !== undefined && members.has(member);
}

function compareByTime(left: LogLine, right: LogLine): number {
  return Date.parse(left.time) - Date.parse(right.time);
}
