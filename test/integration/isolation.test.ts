/**
 * Isolation of transactions, replies and verdicts on pooled connections while clients and daemons fail.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { serialize } from 'pg-protocol';
import type { Deployment } from '../../standin/rig/deployment.js';
import { waitUntil } from '../../standin/rig/wait-until.js';
import { connectTo, startDeployment } from '../support/experiment.js';
import { errorField, RawClient } from '../support/raw-client.js';

const POLICY = `
rules:
  - name: hasty
    when: class == "hasty"
    deadlineMs: 200
`;
const MAX_REQUEST_BYTES = 100_000;

let deployment: Deployment;

before(async () => {
  deployment = await startDeployment({
    networkId: 16,
    policy: POLICY,
    connectionLimit: 8,
    slots: 4,
    limits: { maxRequestBytes: MAX_REQUEST_BYTES, maxUnreadBytes: 2_000_000 },
  });
});
after(() => deployment.stop());

async function findOwnerAndOther(): Promise<{ readonly owner: string; readonly other: string }> {
  const owner = await deployment.waitForOwner('quotes');
  const other = [...deployment.daemons.keys()].find((daemonId) => daemonId !== owner) ?? '';
  return { owner, other };
}

async function readVersion(key: string): Promise<number | null> {
  const client = await connectTo(deployment, (await findOwnerAndOther()).other);
  const result = await client.query<{ version: number }>('SELECT version FROM record WHERE key = $1', [key]);
  await client.end();
  return result.rows[0]?.version ?? null;
}

test('the open transaction of a client that disconnects is rolled back, and its pooled connection is clean', async () => {
  const { owner, other } = await findOwnerAndOther();
  for (const daemonId of [owner, other]) {
    const client = await RawClient.start(deployment.clientAddress(daemonId));
    client.socket.write(serialize.query("BEGIN; INSERT INTO record VALUES ('vanished', 1, 'write/v')"));
    await client.waitForType('Z', 2);
    client.socket.destroy();
    const next = await connectTo(deployment, other);
    const insert =
      "INSERT INTO record VALUES ('vanished', 2, 'write/w') ON CONFLICT (key) DO UPDATE SET version = 2";
    await next.query(insert);
    await next.end();
    assert.equal(await readVersion('vanished'), 2);
  }
});

test('the daemon of the client is killed in mid-transaction: the transaction is rolled back', async () => {
  const { other } = await findOwnerAndOther();
  const client = await connectTo(deployment, other);
  await client.query('BEGIN');
  await client.query("INSERT INTO record VALUES ('entry-killed', 1, 'write/e')");
  await deployment.child(other).kill();
  await deployment.restartDaemon(other);
  const third = [...deployment.daemons.keys()].find((daemonId) => daemonId !== other) ?? '';
  const next = await connectTo(deployment, third);
  await next.query("INSERT INTO record VALUES ('entry-killed', 2, 'write/f')");
  await next.end();
  await waitUntil(
    'the daemon to be back',
    async () => (await deployment.status(other).catch(() => null)) !== null,
  );
});

test('the owner is killed in mid-transaction: nothing of it has run, and the client can continue', async () => {
  const { owner, other } = await findOwnerAndOther();
  const client = await connectTo(deployment, other);
  await client.query('BEGIN');
  await client.query("INSERT INTO record VALUES ('owner-killed', 1, 'write/o')");
  await deployment.child(owner).kill();
  const failure = { code: '08006', detail: 'verdict=not_run' };
  await assert.rejects(client.query("INSERT INTO record VALUES ('owner-killed-2', 1, 'write/o')"), failure);
  await assert.rejects(client.query('SELECT 1'), { code: '25P02' });
  await client.query('ROLLBACK');
  const result = await client.query("SELECT count(*) AS n FROM record WHERE key = 'owner-killed'");
  assert.deepEqual(result.rows, [{ n: '0' }]);
  await client.end();
  await deployment.restartDaemon(owner);
});

test('a request past its deadline is answered at once, and its late answer reaches nobody', async () => {
  const { owner, other } = await findOwnerAndOther();
  for (const daemonId of [owner, other]) {
    const clients = await Promise.all([1, 2, 3, 4, 5, 6].map(() => connectTo(deployment, daemonId)));
    for (let round = 0; round < 5; round += 1) {
      const answers = clients.map(async (client, i) => {
        const slow = client.query(`SELECT pg_sleep(0.4), 'late ${i}' AS mark /*class='hasty'*/`);
        await assert.rejects(slow, isOverdue);
        const result = await client.query(`SELECT 'own ${round} ${i}' AS mark`);
        assert.deepEqual(result.rows, [{ mark: `own ${round} ${i}` }]);
      });
      await Promise.all(answers);
    }
    await Promise.all(clients.map((client) => client.end()));
  }
});

/** True when the request exceeded its deadline, or got no slot before it. */
function isOverdue(error: { readonly code: string; readonly detail: string }): boolean {
  const { code, detail } = error;
  if (code === '57014') return detail === 'verdict=may_have_run';
  return ['57P03', '53300'].includes(code) && detail === 'verdict=not_run';
}

test('a client that disconnects in mid-reply does not affect others', async () => {
  const { other } = await findOwnerAndOther();
  const steady = await connectTo(deployment, other);
  for (let round = 0; round < 10; round += 1) {
    const disconnecting = await RawClient.start(deployment.clientAddress(other));
    disconnecting.socket.write(serialize.query("SELECT repeat('x', 1000) FROM generate_series(1, 1000)"));
    await disconnecting.waitForType('D', 1);
    disconnecting.socket.destroy();
    const result = await steady.query(`SELECT '${round}' AS mark`);
    assert.deepEqual(result.rows, [{ mark: String(round) }]);
  }
  await steady.end();
});

test('a hundred pipelined extended requests in frames split anywhere are answered in order', async () => {
  const { owner, other } = await findOwnerAndOther();
  for (const daemonId of [owner, other]) {
    const client = await RawClient.start(deployment.clientAddress(daemonId));
    const requests = Array.from({ length: 100 }, (_, i) =>
      Buffer.concat([
        serialize.parse({ text: 'SELECT $1::int AS n' }),
        serialize.bind({ values: [String(i)] }),
        serialize.execute(),
        serialize.sync(),
      ]),
    );
    const bytes = Buffer.concat(requests);
    for (let offset = 0; offset < bytes.length; offset += 7)
      client.socket.write(bytes.subarray(offset, offset + 7));
    await client.waitForType('Z', 101);
    const values = client.ofType('D').map((frame) => frame.toString('utf8', 11));
    assert.deepEqual(
      values,
      requests.map((_, i) => String(i)),
    );
    client.socket.destroy();
  }
});

test('one once-only key asked through all daemons at once runs once', async () => {
  for (let round = 0; round < 5; round += 1) {
    const key = `issue-${round}`;
    const text = `INSERT INTO record VALUES ('${key}', 1, 'once/${key}') /*once='${key}'*/`;
    const clients = await Promise.all(
      [...deployment.daemons.keys()].map((daemonId) => connectTo(deployment, daemonId)),
    );
    const outcomes = await Promise.all(
      clients.map((client) =>
        client.query(text).then(
          () => 'ok',
          (error: { detail?: string }) => error.detail ?? 'unknown',
        ),
      ),
    );
    await Promise.all(clients.map((client) => client.end()));
    assert.deepEqual([...outcomes].sort(), ['ok', 'verdict=ran', 'verdict=ran']);
    assert.equal(await readVersion(key), 1);
  }
});

test('the reply of the owner to a once-only write is lost: a retry reports that it ran', async () => {
  const owner = await deployment.waitForOwner('quotes');
  const ownerZone = deployment.daemons.get(owner)?.zone ?? '';
  const primaryZone = deployment.members.get((await deployment.findPrimary('quotes')) ?? '')?.zone ?? '';
  const otherZone = deployment.zones.find((zone) => zone !== ownerZone && zone !== primaryZone) ?? '';
  const other = [...deployment.daemons.values()].find(({ zone }) => zone === otherZone)?.id ?? '';
  const text = "INSERT INTO record VALUES ('lost-answer', 1, 'once/l') /*once='lost-answer'*/";
  const client = await connectTo(deployment, other);
  deployment.proxy.cutOneWay(ownerZone, otherZone);
  const first = client.query(text).then(
    () => 'ok',
    (error: { detail?: string }) => error.detail ?? 'unknown',
  );
  await waitUntil('the write to be stored', async () => {
    const direct = await connectTo(deployment, owner);
    const found = await direct
      .query("SELECT version FROM record WHERE key = 'lost-answer'")
      .catch(() => null);
    await direct.end();
    return found?.rows.length === 1;
  });
  deployment.proxy.heal();
  assert.ok(['ok', 'verdict=ran', 'verdict=may_have_run'].includes(await first));
  const again = await connectTo(deployment, other);
  await assert.rejects(again.query(text), { detail: 'verdict=ran' });
  await Promise.all([client.end(), again.end()]);
});

test('a statement on a member that is cut off fails when the member stops answering, not at its deadline', async () => {
  const primary = (await deployment.findPrimary('quotes')) ?? '';
  const primaryZone = deployment.members.get(primary)?.zone ?? '';
  const entry = [...deployment.daemons.values()].find(({ zone }) => zone !== primaryZone)?.id ?? '';
  const client = await connectTo(deployment, entry);
  await client.query('BEGIN');
  const slow = client.query('SELECT pg_sleep(60)');
  const failure = assert.rejects(slow, { code: '08006', message: /was lost/ });
  deployment.proxy.isolate(primaryZone, deployment.zones);
  await failure;
  await client.query('ROLLBACK');
  deployment.proxy.heal();
  await client.end();
});

test('malformed input closes only the connection that sent it', async () => {
  const { other } = await findOwnerAndOther();
  const address = deployment.clientAddress(other);
  const steady = await connectTo(deployment, other);

  const unknownType = await RawClient.start(address);
  unknownType.socket.write(Buffer.from([0x01, 0, 0, 0, 4]));
  const badLength = await RawClient.start(address);
  badLength.socket.write(Buffer.from([0x51, 0, 0, 0, 2]));
  const tooLarge = await RawClient.start(address);
  tooLarge.socket.write(serialize.query('x'.repeat(MAX_REQUEST_BYTES + 1)));
  const malformed = await RawClient.start(address);
  malformed.socket.write(
    Buffer.concat([Buffer.from([0x50, 0, 0, 0, 8, 0x61, 0x62, 0x63, 0x64]), serialize.sync()]),
  );
  for (const client of [unknownType, badLength, tooLarge, malformed]) {
    await client.waitForClose();
    assert.equal(errorField(client.ofType('E')[0], 'C'), '08P01');
  }

  const oldProtocol = RawClient.open(address);
  oldProtocol.socket.write(Buffer.from([0, 0, 0, 8, 0, 2, 0, 0]));
  await oldProtocol.waitForClose();
  assert.equal(errorField(oldProtocol.ofType('E')[0], 'C'), '08P01');
  const hugeStartup = RawClient.open(address);
  hugeStartup.socket.write(Buffer.from([0x7f, 0, 0, 0, 0, 3, 0, 0]));
  await hugeStartup.waitForClose();

  const neverReads = await RawClient.start(address);
  neverReads.socket.pause();
  for (let i = 0; i < 20; i += 1) {
    neverReads.socket.write(serialize.query("SELECT repeat('x', 1000) FROM generate_series(1, 1000)"));
  }
  await waitUntil('the client that never reads to be disconnected', async () => {
    return (await deployment.status(other)).clientConnections === 1;
  });
  const result = await steady.query("SELECT 'fine' AS mark");
  assert.deepEqual(result.rows, [{ mark: 'fine' }]);
  await steady.end();
  neverReads.socket.destroy();
});
