/**
 * Unit tests of policies, settings, classification, tags, frames, replies and other small modules.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { digestDatabases, fromDocument, toDocument } from './configuration/configuration-document.js';
import { OwnerCircuitBreaker } from './entry/owner-circuit-breaker.js';
import { PauseDetector } from './entry/pause-detector.js';
import { ReplyPlan, type ReplyStep } from './member/reply-plan.js';
import { formatLine } from './observability/logger.js';
import { MAX_POLICY_BYTES } from './policy/policy-document.js';
import { DEFAULT_DECISION, Policy } from './policy/policy.js';
import { parseSettings } from './settings/settings.js';
import { classify } from './statement/classify.js';
import { parseStartupTags, parseTags } from './statement/request-tags.js';
import { FrameError, FrameSplitter } from './wire/frame-splitter.js';
import { BackendType } from './wire/message-types.js';

const PROPERTY_OPTIONS = { seed: 20261202, numRuns: 200 };

const SUBJECT = {
  class: 'lookup',
  kind: 'read' as const,
  session: '',
  database: 'quotes',
  user: 'agent',
  zone: 'lhr-a',
  hour: 3,
  lagMs: 900,
};

test('policy: the first matching rule decides; a request that no rule matches gets the default decision', () => {
  const policy = Policy.compile(
    `
rules:
  - name: night
    when: class == "lookup" && hour < 6 && lagMs < 1000
    replica: true
    maxStalenessMs: 2000
  - name: day
    when: class == "lookup"
    priority: 7
`,
  ).unsafeCoerce();
  assert.deepEqual(policy.decide(SUBJECT), {
    ...DEFAULT_DECISION,
    rule: 'night',
    replica: true,
    maxStalenessMs: 2000,
  });
  assert.equal(policy.decide({ ...SUBJECT, hour: 9 }).rule, 'day');
  assert.deepEqual(policy.decide({ ...SUBJECT, class: '' }), DEFAULT_DECISION);
});

test('policy: problems state their location', () => {
  const problemsOf = (text: string): string => Policy.compile(text).swap().orDefault([]).join('\n');
  assert.match(
    problemsOf('rules:\n  - name: a\n    when: klass == "x"'),
    /^policy\.rules\[0\]\.when: .*klass/,
  );
  assert.match(
    problemsOf('rules:\n  - name: a\n    when: hour + 1'),
    /^policy\.rules\[0\]\.when: expected a condition/,
  );
  assert.match(
    problemsOf('rules:\n  - name: a\n    when: "true"\n    prioritty: 3'),
    /^policy\.rules\[0\]: .*prioritty/,
  );
  assert.match(
    problemsOf('rules:\n  - name: a\n    when: "true"\n    priority: 12'),
    /^policy\.rules\[0\]\.priority/,
  );
  assert.match(problemsOf('x'.repeat(MAX_POLICY_BYTES + 1)), /larger than/);
});

test('policy: the test cases in the document are run', () => {
  const policy = Policy.compile(
    `
rules:
  - name: a
    when: kind == "read"
    replica: true
tests:
  - name: wrong
    given: { kind: read }
    expect: { replica: false }
`,
  ).unsafeCoerce();
  assert.deepEqual(policy.runTests(), ['test "wrong": expected replica=false, got true']);
});

const MINIMAL_SETTINGS = `
daemon: { id: a1, zone: lhr-a }
listen:
  client: { host: 127.0.0.1, port: 6432 }
  peer: { host: 127.0.0.1, port: 7432 }
  http: { host: 127.0.0.1, port: 8432 }
store: { url: "http://127.0.0.1:2379" }
`;

test('settings: a minimal file is valid, flags override it, and every problem states its location', () => {
  const settings = parseSettings(MINIMAL_SETTINGS, new Map([['listen.client.port', '7000']])).unsafeCoerce();
  assert.equal(settings.listen.client.port, 7000);
  assert.equal(settings.timing.leaseMs, 2000);
  const problems = parseSettings(
    `${MINIMAL_SETTINGS}timing: { leaseMs: 100, lease: 3 }\nlimit: 1\n`,
    new Map(),
  )
    .swap()
    .orDefault([]);
  assert.ok(problems.some((line) => line.startsWith('settings.timing') && line.includes('lease')));
  assert.ok(problems.some((line) => line.startsWith('settings:') && line.includes('limit')));
});

test('classification: reads, writes, unparsable text, transactions, and statements that cannot be pooled', () => {
  const kindOf = (text: string): string => classify(text).kind;
  assert.equal(kindOf('SELECT count(*) FROM t WHERE a = lower($1)'), 'read');
  assert.equal(kindOf('WITH x AS (SELECT 1) SELECT * FROM x'), 'read');
  assert.equal(kindOf('SELECT * FROM t FOR UPDATE'), 'write');
  assert.equal(kindOf('SELECT issue_policy(7)'), 'write');
  assert.equal(kindOf('WITH d AS (DELETE FROM t RETURNING *) SELECT * FROM d'), 'write');
  assert.equal(kindOf('SELECT 1 INTO t'), 'write');
  assert.equal(kindOf('this is no SQL'), 'write');
  assert.equal(kindOf('SELECT 1; DELETE FROM t'), 'write');
  assert.equal(kindOf('BEGIN'), 'begin');
  assert.equal(classify('BEGIN READ ONLY').isReadOnlyTransaction, true);
  assert.equal(classify('BEGIN READ WRITE').isReadOnlyTransaction, false);
  assert.equal(kindOf('COMMIT'), 'commit');
  assert.equal(kindOf("SET TIME ZONE 'UTC'"), 'set');
  assert.equal(kindOf('LISTEN x'), 'unsupported');
  assert.equal(kindOf('COPY t FROM STDIN'), 'unsupported');
  assert.equal(kindOf('SELECT pg_advisory_lock(1)'), 'unsupported');
});

test('tags: only the last comment in sqlcommenter format is parsed', () => {
  const { text, tags } = parseTags("SELECT 1 /*class='issue',once='a%20b',session='s\\'1'*/;");
  assert.equal(text, 'SELECT 1 ');
  assert.deepEqual(tags, { requestClass: 'issue', onceKey: 'a b', session: "s'1" });
  assert.equal(parseTags('SELECT 1 /* a remark */').tags.requestClass, null);
  const startup = new Map([['options', '-c sorrelladder.class=lookup -c other=1']]);
  assert.equal(parseStartupTags(startup).requestClass, 'lookup');
});

test('frames: a stream split at any point gives the same messages', () => {
  const body = fc.uint8Array({ maxLength: 20 });
  fc.assert(
    fc.property(fc.array(body, { maxLength: 8 }), fc.integer({ min: 1, max: 9 }), (bodies, step) => {
      const messages = bodies.map((bytes) => {
        const header = Buffer.alloc(5, 0x51);
        header.writeUInt32BE(bytes.length + 4, 1);
        return Buffer.concat([header, bytes]);
      });
      const stream = Buffer.concat(messages);
      const splitter = new FrameSplitter(1000);
      const frames: Buffer[] = [];
      for (let i = 0; i < stream.length; i += step)
        frames.push(...splitter.push(stream.subarray(i, i + step)));
      assert.deepEqual(frames.map(String), messages.map(String));
      assert.equal(splitter.pendingBytes, 0);
    }),
    PROPERTY_OPTIONS,
  );
  assert.throws(() => new FrameSplitter(100).push(Buffer.from([0x51, 0, 0, 1, 0])), FrameError);
});

test('replies: replies to injected messages are hidden, and an error ends the batch', () => {
  const step = (kind: ReplyStep['kind'], isHidden: boolean): ReplyStep => ({
    kind,
    isHidden,
    statementName: 's',
  });
  const prepared: string[] = [];
  const steps = [step('parse', true), step('bind', false), step('execute', false)];
  const plan = new ReplyPlan(steps, (name) => prepared.push(name));
  assert.equal(plan.accept(BackendType.parseComplete), false);
  assert.deepEqual(prepared, ['s']);
  assert.equal(plan.accept(BackendType.bindComplete), true);
  assert.equal(plan.accept(BackendType.dataRow), true);
  assert.equal(plan.isDone, false);
  assert.equal(plan.accept(BackendType.commandComplete), true);
  assert.equal(plan.isDone, true);

  const failing = new ReplyPlan(steps, () => undefined);
  assert.equal(failing.accept(BackendType.errorResponse), true);
  assert.equal(failing.isDone, true);
});

test('pause detector: a pause is reported until its window has passed', () => {
  const detector = new PauseDetector({ thresholdMs: 1000, windowMs: 250 }, 0);
  assert.equal(detector.tick(900), false);
  assert.equal(detector.tick(1900), true);
  while (detector.completeIteration()) assert.equal(detector.tick(1901), true);
  assert.equal(detector.tick(2149), true, 'within the window even after the iterations');
  assert.equal(detector.tick(2150), false);
});

test('logs: one line of key=value pairs', () => {
  const line = formatLine('{"level":"info","time":"t","daemon":"a1","event":"daemon_started","error":"a b"}');
  assert.equal(line, 'time=t level=info event=daemon_started daemon=a1 error="a b"\n');
});

test('owner circuit breaker: once open, requests are refused except for periodic probes', () => {
  const breaker = new OwnerCircuitBreaker({ openAfterMs: 3000, probeIntervalMs: 250 });
  assert.equal(breaker.recordFailure('quotes', 0), false);
  assert.equal(breaker.recordFailure('quotes', 2999), false);
  assert.equal(breaker.allowRequest('quotes', 2999), true);
  assert.equal(breaker.recordFailure('quotes', 3000), true);
  assert.equal(breaker.allowRequest('quotes', 3001), true);
  assert.equal(breaker.allowRequest('quotes', 3002), false);
  assert.equal(breaker.allowRequest('quotes', 3251), true);
  assert.equal(breaker.allowRequest('other', 3002), true);
  breaker.recordSuccess('quotes');
  assert.equal(breaker.allowRequest('quotes', 3252), true);
});

test('configuration documents: databases that the receiver already has are omitted, and only matching ones are restored', () => {
  const database = { name: 'quotes', connectionLimit: 35, slots: 5, members: [] };
  const base = {
    version: 1,
    identity: 'a',
    publishedBy: 'o',
    publishedAt: '',
    databases: [database],
    policy: 'rules: []',
  };
  const next = {
    ...base,
    version: 2,
    identity: 'b',
    databases: [{ ...database }],
    policy: 'rules: [] # new',
  };
  const document = toDocument(next, digestDatabases(base));
  assert.equal(document.omitsDatabases, true);
  assert.deepEqual(fromDocument(document, base), next);
  const other = { ...base, databases: [{ ...database, slots: 6 }] };
  assert.equal(fromDocument(document, other), null);
  assert.equal(fromDocument(document, null), null);
  assert.deepEqual(fromDocument(toDocument(next, digestDatabases(other)), null), next);
});
