/**
 * What a policy sees of a request.
 *
 * @packageDocumentation
 */
import type { PolicySubject } from '../policy/policy-document.js';
import type { StatementRequest } from './statement-request.js';

/**
 * Describes a request to a policy.
 *
 * @param hour - hour of the day in UTC, 0 to 23
 * @param lagMs - the least replica's staleness, in milliseconds
 */
export function policySubject(request: StatementRequest, hour: number, lagMs: number): PolicySubject {
  return {
    class: request.requestClass,
    kind: policyKind(request),
    session: request.session,
    database: request.database,
    user: request.user,
    zone: request.zone,
    hour,
    lagMs,
  };
}

/** A transaction that is declared read only counts as a read, a setting as a write. */
function policyKind({ kind, isReadOnlyTransaction }: StatementRequest): PolicySubject['kind'] {
  if (isReadOnlyTransaction) return 'read';
  return kind === 'set' || kind === 'unsupported' ? 'write' : kind;
}
