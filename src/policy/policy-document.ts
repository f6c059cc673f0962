/**
 * Schema of a policy document: ordered rules whose conditions are CEL expressions, and the policy's own test
 * cases.
 *
 * @packageDocumentation
 */
import { z } from 'zod';

/** Maximum size of a policy text. */
export const MAX_POLICY_BYTES = 256 * 1024;
/** Maximum number of rules in a policy. */
export const MAX_POLICY_RULES = 200;
/** Priorities range from 0 (served last) to this value (served first). */
export const MAX_PRIORITY = 9;
/** Maximum deadline that a rule may set. */
export const MAX_DEADLINE_MS = 600_000;

const decisionFields = {
  replica: z.boolean().optional(),
  maxStalenessMs: z.number().int().min(0).max(86_400_000).optional(),
  repeatable: z.boolean().optional(),
  priority: z.number().int().min(0).max(MAX_PRIORITY).optional(),
  deadlineMs: z.number().int().min(1).max(MAX_DEADLINE_MS).optional(),
  refuse: z.string().min(1).max(200).optional(),
};

const ruleSchema = z.strictObject({
  name: z.string().min(1).max(100),
  when: z.string().min(1).max(2000),
  ...decisionFields,
});

const subjectSchema = z.strictObject({
  class: z.string().default(''),
  kind: z.enum(['read', 'write', 'begin', 'commit', 'rollback']).default('read'),
  session: z.string().default(''),
  database: z.string().default(''),
  user: z.string().default(''),
  zone: z.string().default(''),
  hour: z.number().int().min(0).max(23).default(12),
  lagMs: z.number().int().min(0).default(0),
});

const testSchema = z.strictObject({
  name: z.string().min(1).max(100),
  given: subjectSchema,
  expect: z.strictObject({ rule: z.string().optional(), ...decisionFields }),
});

/** Schema of a policy document. */
export const policySchema = z.strictObject({
  rules: z.array(ruleSchema).max(MAX_POLICY_RULES),
  tests: z.array(testSchema).default([]),
});

/** A validated policy document. */
export type PolicyDocument = z.infer<typeof policySchema>;
/** One rule of a policy. */
export type PolicyRule = z.infer<typeof ruleSchema>;
/** One test case of a policy. */
export type PolicyTest = z.infer<typeof testSchema>;
/** The variables of a rule's condition. */
export type PolicySubject = z.infer<typeof subjectSchema>;
