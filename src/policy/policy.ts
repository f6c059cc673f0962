/**
 * Compiles a policy document and evaluates requests against it.
 *
 * @packageDocumentation
 */
import { Environment } from '@marcbachmann/cel-js';
import { LRUCache } from 'lru-cache';
import { Either, Left, Right } from 'purify-ts';
import { parse as parseYaml } from 'yaml';
import { formatIssues } from '../settings/format-issues.js';
import {
  MAX_POLICY_BYTES,
  policySchema,
  type PolicyDocument,
  type PolicyRule,
  type PolicySubject,
  type PolicyTest,
} from './policy-document.js';

/** The decision of a policy about a request. @public */
export interface PolicyDecision {
  /** Name of the rule that matched; empty for the default decision. */
  readonly rule: string;
  /** Whether a replica may serve the request. */
  readonly replica: boolean;
  /** Maximum staleness of a replica, in milliseconds; `null` when the policy sets no bound. */
  readonly maxStalenessMs: number | null;
  /** Whether the request may be executed more than once. */
  readonly repeatable: boolean;
  /** Priority when connections are scarce: 0 (served last) to 9 (served first). */
  readonly priority: number;
  /** Time after which a response is of no use to the client, in milliseconds. */
  readonly deadlineMs: number;
  /** Reason for refusing the request; `null` when it is not refused. */
  readonly refuse: string | null;
}

/** Decision when no rule matches: served by the primary, not repeatable. */
export const DEFAULT_DECISION: PolicyDecision = {
  rule: '',
  replica: false,
  maxStalenessMs: null,
  repeatable: false,
  priority: 5,
  deadlineMs: 10_000,
  refuse: null,
};

interface CompiledRule {
  readonly rule: PolicyRule;
  readonly decision: PolicyDecision;
  readonly matches: (subject: CelSubject) => unknown;
}

interface CelSubject {
  readonly class: string;
  readonly kind: string;
  readonly session: string;
  readonly database: string;
  readonly user: string;
  readonly zone: string;
  readonly hour: bigint;
  readonly lagMs: bigint;
}

const MAX_CACHED_DECISIONS = 10_000;

const STRING_VARIABLES = ['class', 'kind', 'session', 'database', 'user', 'zone'] as const;
const INTEGER_VARIABLES = ['hour', 'lagMs'] as const;
const VARIABLE_NAMES = [...STRING_VARIABLES, ...INTEGER_VARIABLES];

/** True when a condition may depend on a variable, that is, when the variable's name occurs in its text. */
function mentions(condition: string, name: string): boolean {
  return new RegExp(`\\b${name}\\b`).test(condition);
}

/** A compiled policy. @public */
export class Policy {
  /** Cached decisions, keyed by the values of the variables that the rules use. */
  readonly #decisionCache = new LRUCache<string, PolicyDecision>({ max: MAX_CACHED_DECISIONS });
  readonly #usedVariables: readonly (keyof PolicySubject)[];

  private constructor(
    private readonly rules: readonly CompiledRule[],
    private readonly tests: readonly PolicyTest[],
  ) {
    this.#usedVariables = VARIABLE_NAMES.filter((name) =>
      rules.some(({ rule }) => mentions(rule.when, name)),
    );
  }

  /** A policy without rules. */
  static readonly empty = new Policy([], []);

  /** Compiles a YAML text; returns the problems, one per line, when it is invalid. */
  static compile(text: string): Either<readonly string[], Policy> {
    return parseDocument(text).chain((document) => {
      const problems: string[] = [];
      const environment = createEnvironment();
      const rules = document.rules.map((rule, position) =>
        compileRule(environment, rule, position, problems),
      );
      return problems.length > 0 ? Left(problems) : Right(new Policy(rules, document.tests));
    });
  }

  /** Number of test cases. */
  get testCount(): number {
    return this.tests.length;
  }

  /**
   * Returns the decision of the first matching rule; a rule whose condition fails to evaluate does not match.
   */
  decide(subject: PolicySubject): PolicyDecision {
    const key = this.#usedVariables.map((name) => subject[name]).join('\0');
    const cached = this.#decisionCache.get(key);
    if (cached !== undefined) return cached;
    const decision = this.#decideUncached(subject);
    this.#decisionCache.set(key, decision);
    return decision;
  }

  #decideUncached(subject: PolicySubject): PolicyDecision {
    const celSubject = { ...subject, hour: BigInt(subject.hour), lagMs: BigInt(subject.lagMs) };
    for (const { matches, decision } of this.rules) {
      if (evaluatesToTrue(matches, celSubject)) return decision;
    }
    return DEFAULT_DECISION;
  }

  /** Runs the policy's own test cases; returns the failures, one per line. */
  runTests(): readonly string[] {
    return this.tests.flatMap((test) => this.#runTest(test));
  }

  #runTest(test: PolicyTest): string[] {
    const decision: Readonly<Record<string, unknown>> = { ...this.decide(test.given) };
    return Object.entries(test.expect)
      .filter(([field, expected]) => decision[field] !== expected)
      .map(
        ([field, expected]) =>
          `test "${test.name}": expected ${field}=${formatValue(expected)}, got ${formatValue(decision[field])}`,
      );
  }
}

function formatValue(value: unknown): string {
  return JSON.stringify(value) ?? 'nothing';
}

function evaluatesToTrue(matches: CompiledRule['matches'], subject: CelSubject): boolean {
  try {
    return matches(subject) === true;
  } catch {
    return false;
  }
}

function parseDocument(text: string): Either<readonly string[], PolicyDocument> {
  if (Buffer.byteLength(text) > MAX_POLICY_BYTES)
    return Left([`policy: larger than ${MAX_POLICY_BYTES} bytes`]);
  let raw: unknown;
  try {
    raw = parseYaml(text, { maxAliasCount: 0 });
  } catch (error) {
    return Left([`policy: not valid YAML: ${(error as Error).message.split('\n')[0]}`]);
  }
  const result = policySchema.safeParse(raw);
  return result.success ? Right(result.data) : Left(formatIssues('policy', result.error.issues));
}

function createEnvironment(): Environment {
  const environment = new Environment({
    limits: {
      maxAstNodes: 1000,
      maxDepth: 50,
      maxListElements: 500,
      maxMapEntries: 100,
      maxCallArguments: 16,
    },
  });
  for (const name of STRING_VARIABLES) environment.registerVariable(name, 'string');
  for (const name of INTEGER_VARIABLES) environment.registerVariable(name, 'int');
  return environment;
}

function compileRule(
  environment: Environment,
  rule: PolicyRule,
  position: number,
  problems: string[],
): CompiledRule {
  const decision = { ...DEFAULT_DECISION, ...decisionFieldsOf(rule) };
  const path = `policy.rules[${position}].when`;
  try {
    const expression = environment.parse(rule.when);
    const check = expression.check();
    if (!check.valid)
      problems.push(`${path}: ${String(check.error?.message ?? 'does not type-check').split('\n')[0]}`);
    else if (check.type !== 'bool')
      problems.push(`${path}: expected a condition, found ${String(check.type)}`);
    return { rule, decision, matches: (subject) => expression(subject) };
  } catch (error) {
    problems.push(`${path}: ${(error as Error).message.split('\n')[0]}`);
    return { rule, decision, matches: () => false };
  }
}

function decisionFieldsOf(rule: PolicyRule): Partial<PolicyDecision> {
  const { name, replica, maxStalenessMs, repeatable, priority, deadlineMs, refuse } = rule;
  const given = { replica, maxStalenessMs, repeatable, priority, deadlineMs, refuse };
  const entries = Object.entries(given).filter(([, value]) => value !== undefined);
  return { rule: name, ...Object.fromEntries(entries) };
}
