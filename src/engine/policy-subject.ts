/**
 * Maps a request to the attributes that policy rules can refer to.
 *
 * @packageDocumentation
 */
import type { PolicySubject } from '../policy/policy-document.js';
import type { StatementRequest } from './statement-request.js';

/**
 * Builds the policy attributes of a request.
 *
 * @param hour - hour of the day in UTC, 0 to 23
 * @param lagMs - lowest staleness of any replica, in milliseconds
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

/** Statements of a read-only transaction count as reads; SET and unsupported statements count as writes. */
function policyKind({ kind, isReadOnlyTransaction }: StatementRequest): PolicySubject['kind'] {
  if (isReadOnlyTransaction) return 'read';
  return kind === 'set' || kind === 'unsupported' ? 'write' : kind;
}
