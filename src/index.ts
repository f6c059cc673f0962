/**
 * The library interface of sorrelladder: the coordination components on which the daemons are built.
 *
 * All components are pure: they use no sockets, clocks or random sources. Times are passed in as milliseconds
 * of a monotonic clock.
 *
 * @packageDocumentation
 */
export { CommitEvidence, type EvidenceState, type TimedStatus } from './group/commit-evidence.js';
export {
  describeGroup,
  majorityOf,
  type GroupDescription,
  type MemberAddress,
  type MemberDescription,
  type MemberStatus,
} from './group/group-description.js';
export {
  selectMember,
  type MemberLoads,
  type Selection,
  type SelectionDemand,
  type WaitReason,
} from './group/select-replica-or-primary.js';
export { StalenessEstimator } from './group/staleness.js';
export { MembershipTable, type MembershipTableOptions } from './membership/membership-table.js';
export { supersedes, type PeerRecord, type PeerState } from './membership/peer-record.js';
export { rankCandidates } from './ownership/candidate-ranking.js';
export { QuorumLease, type LeaseTimes } from './ownership/quorum-lease.js';
export { Policy, type PolicyDecision } from './policy/policy.js';
export { AdmissionQueue, type Admission, type Waiter } from './pool/admission-queue.js';
export {
  comparePositions,
  hasReached,
  laterPosition,
  ZERO_POSITION,
  type Position,
} from './position/position.js';
export { backoffDelayMs, type BackoffOptions } from './retry/backoff.js';
export { RetryBudget, type RetryBudgetOptions } from './retry/retry-budget.js';
export { SessionPositions } from './session/session-positions.js';
export { ConfigurationHolder, type OfferOutcome } from './configuration/configuration-holder.js';
export { StartupGate } from './configuration/startup-gate.js';
export { judgeLoss, type LossJudgement, type LostRequest } from './verdict/judge-loss.js';
export { RequestError, SqlState, type Verdict } from './verdict/verdict.js';
