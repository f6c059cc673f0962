/**
 * The command line: exit codes, messages, and publishing to a store.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { routeReads } from '../../examples/session-routing.js';
import { Child } from '../../standin/rig/child.js';
import { StoreServer } from '../../standin/store/store-server.js';

/** Differs between test runs on one machine. */
const STORE_HOST = `127.80.${(process.pid >> 8) & 255}.${1 + (process.pid % 250)}`;
const STORE_PORT = 2379;
const STORE = ['--store', `http://${STORE_HOST}:${STORE_PORT}`];

const store = new StoreServer();
const directory = mkdtempSync(join(tmpdir(), 'sorrelladder-cli-'));

before(() => store.listen(STORE_HOST, STORE_PORT));
after(async () => {
  await store.close();
  rmSync(directory, { recursive: true });
});

function writeFile(name: string, text: string): string {
  const path = join(directory, name);
  writeFileSync(path, text);
  return path;
}

async function run(
  ...args: string[]
): Promise<{ readonly code: number | null; readonly out: string; readonly err: string }> {
  const child = new Child('cli', 'sorrelladder', args);
  const code = await child.waitForExit();
  return { code, out: child.output, err: child.log };
}

const GOOD = 'rules:\n  - name: a\n    when: class == "x"\n    replica: true\n';
const GOOD_WITH_FAILING_TEST = `${GOOD}tests:\n  - name: t\n    given: { class: x }\n    expect: { replica: false }\n`;

test('a daemon does not start with invalid settings, and each problem is reported', async () => {
  const result = await run('serve', '--settings', writeFile('bad.yaml', 'daemon: { id: "a b" }\nextra: 1\n'));
  assert.equal(result.code, 2);
  assert.match(result.err, /settings\.daemon\.id: expected/);
  assert.match(result.err, /settings\.listen/);
  assert.match(result.err, /settings: .*extra/);
});

test('check and test distinguish valid from invalid policies', async () => {
  assert.equal((await run('policy', 'check', writeFile('good.yaml', GOOD))).code, 0);
  assert.equal((await run('policy', 'check', writeFile('bad.yaml', 'rules: 3'))).code, 2);
  const failing = await run('policy', 'test', writeFile('failing.yaml', GOOD_WITH_FAILING_TEST));
  assert.equal(failing.code, 2);
  assert.match(failing.out, /0 passed, 1 failed/);
});

test('publish, show, history and rollback; failing tests and an outdated expected version are rejected', async () => {
  const good = writeFile('publish.yaml', GOOD);
  const first = await run('policy', 'publish', good, ...STORE);
  assert.deepEqual([first.code, first.out], [0, 'accepted as version 1\n']);
  assert.equal(
    (await run('policy', 'publish', writeFile('f.yaml', GOOD_WITH_FAILING_TEST), ...STORE)).code,
    2,
  );
  const stale = await run('policy', 'publish', good, ...STORE, '--expect-version', '0');
  assert.equal(stale.code, 3);
  assert.match(stale.err, /version 1 is current/);
  assert.equal((await run('policy', 'publish', writeFile('two.yaml', 'rules: []\n'), ...STORE)).code, 0);
  assert.equal((await run('policy', 'rollback', '1', ...STORE)).out, 'accepted as version 3\n');
  assert.equal((await run('policy', 'show', ...STORE)).out, GOOD);
  const history = (await run('policy', 'history', ...STORE)).out.trim().split('\n');
  assert.deepEqual(
    history.map((line) => line.split('\t')[0]),
    ['3', '2', '1'],
  );
});

test('a lost reply is resolved by reading back; a store that is down is reported', async () => {
  store.setFaults({ loseAnswers: 1 });
  const lost = await run('policy', 'publish', writeFile('lost.yaml', GOOD), ...STORE);
  assert.deepEqual([lost.code, lost.out], [0, 'accepted as version 4\n']);
  store.setFaults({ down: true });
  assert.equal((await run('policy', 'publish', writeFile('down.yaml', GOOD), ...STORE)).code, 4);
  store.setFaults({ down: false });
});

test('publishing does not overwrite a stored value that is not a configuration', async () => {
  const toBase64 = (text: string): string => Buffer.from(text).toString('base64');
  const key = toBase64('/rubbish/configuration/current');
  store.state.put([{ key, value: toBase64('rubbish') }]);
  const result = await run('policy', 'publish', writeFile('r.yaml', GOOD), ...STORE, '--prefix', '/rubbish');
  assert.equal(result.code, 2);
  assert.match(result.err, /not a configuration/);
  assert.equal(store.state.range(key, undefined)[0]?.value, toBase64('rubbish'));
});

test('databases are validated', async () => {
  const bad = writeFile(
    'databases.yaml',
    'databases: [{ name: a, connectionLimit: 1, slots: 1, members: [] }]',
  );
  const result = await run('config', 'check', bad);
  assert.equal(result.code, 2);
  assert.match(result.err, /databases\.databases\[0\]\.connectionLimit/);
});

test('the library example runs', () => {
  assert.deepEqual(routeReads(), ['primary', 'replica']);
});
