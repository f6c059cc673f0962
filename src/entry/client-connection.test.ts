/**
 * What a client is told whose connection is ended at the end of a drain.
 *
 * Users were told "the daemon is stopping" with the verdict `not_run` for a write that was then found to be kept: the drain was
 * over before the owner's answer came, and the goodbye was the same whether something ran or not.
 *
 * Evidence: `FATAL 57P01 verdict=not_run` as the only answer to a request that had been handed to the owner.
 */
import assert from 'node:assert/strict';
import { createServer, type Server, type AddressInfo } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { serialize } from 'pg-protocol';
import { errorField, RawClient } from '../../test/support/raw-client.js';
import { waitUntil } from '../../standin/rig/wait-until.js';
import type { AnswerSink, StatementRequest } from '../engine/statement-request.js';
import type { PolicyDecision } from '../policy/policy.js';
import { ClientConnection } from './client-connection.js';
import { RequestRouter } from './request-router.js';

const DECISION: PolicyDecision = {
  rule: '',
  replica: false,
  maxStalenessMs: null,
  repeatable: false,
  priority: 5,
  deadlineMs: 60_000,
  refuse: null,
};

let server: Server;
let client: RawClient;
let connection: ClientConnection;
let mayReadBeOld: boolean;
/** Requests that the owner has been handed, and where their answers go. */
let forwarded: { readonly request: StatementRequest; readonly sink: AnswerSink }[];

beforeEach(async () => {
  forwarded = [];
  mayReadBeOld = false;
  const owner = {
    daemonId: 'owner',
    forward: (request: StatementRequest, sink: AnswerSink) => void forwarded.push({ request, sink }),
    closeStream: () => undefined,
    cancel: () => undefined,
  };
  const router = new RequestRouter({
    targets: () => [owner],
    decide: () => DECISION,
    hasPausedSince: () => false,
    random: () => 0.5,
  });
  server = createServer((socket) => {
    connection = new ClientConnection(socket, {
      identity: {
        streamId: 's',
        database: 'quotes',
        user: 'raw',
        tags: { session: null, requestClass: null, onceKey: null },
      },
      zone: 'a',
      router,
      maxRequestBytes: 1e6,
      maxUnreadBytes: 1e6,
      mayReadBeOld: () => mayReadBeOld,
      onClosed: () => undefined,
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  client = RawClient.open({ host: '127.0.0.1', port: (server.address() as AddressInfo).port });
});
afterEach(() => {
  client.socket.destroy();
  server.close();
});

/** Asks, and waits until the owner has the request. */
async function ask(text: string): Promise<AnswerSink> {
  const count = forwarded.length;
  client.socket.write(serialize.query(text));
  await waitUntil('the owner to be asked', () => forwarded.length > count);
  const sink = forwarded.at(-1)?.sink;
  assert.ok(sink !== undefined);
  return sink;
}

/** The verdict of the goodbye at the end of a drain. */
function goodbye(): Promise<string | null> {
  connection.closeNow();
  return verdictAtEnd('57P01');
}

/** The verdict of the only error, which ended the connection. */
async function verdictAtEnd(sqlState: string): Promise<string | null> {
  await client.waitForClose();
  const [frame] = client.ofType('E');
  assert.equal(errorField(frame, 'S'), 'FATAL');
  assert.equal(errorField(frame, 'C'), sqlState);
  return errorField(frame, 'D');
}

test('a write that runs may have run', async () => {
  await ask("INSERT INTO record VALUES ('k', 1, 'v')");
  assert.equal(await goodbye(), 'verdict=may_have_run');
});

test('so may a commit', async () => {
  (await ask('BEGIN')).end('T');
  await ask('COMMIT');
  assert.equal(await goodbye(), 'verdict=may_have_run');
});

test('so may a write with another that waits behind it', async () => {
  await ask("INSERT INTO record VALUES ('k', 1, 'v')");
  client.socket.write(serialize.query("INSERT INTO record VALUES ('l', 1, 'v')"));
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.equal(await goodbye(), 'verdict=may_have_run');
  assert.equal(forwarded.length, 1, 'what waits is not run');
});

test('a write inside a transaction is rolled back: nothing of it is kept', async () => {
  (await ask('BEGIN')).end('T');
  await ask("INSERT INTO record VALUES ('k', 1, 'v')");
  assert.equal(await goodbye(), 'verdict=not_run');
});

test('nothing of a transaction that rests is kept', async () => {
  (await ask('BEGIN')).end('T');
  await client.waitForType('Z', 1);
  assert.equal(await goodbye(), 'verdict=not_run');
});

test('a connection that was answered is told that nothing was run', async () => {
  (await ask("INSERT INTO record VALUES ('k', 1, 'v')")).end('I');
  await client.waitForType('Z', 1);
  assert.equal(await goodbye(), 'verdict=not_run');
});

test('a write that runs as its client sends what is no message may have run', async () => {
  await ask("INSERT INTO record VALUES ('k', 1, 'v')");
  client.socket.write(Buffer.from([0, 0, 0, 0, 4]));
  assert.equal(await verdictAtEnd('08P01'), 'verdict=may_have_run');
});

test('so may one that runs as its client is read after a pause', async () => {
  await ask("INSERT INTO record VALUES ('k', 1, 'v')");
  mayReadBeOld = true;
  client.socket.write(serialize.query("INSERT INTO record VALUES ('l', 1, 'v')"));
  assert.equal(await verdictAtEnd('57P01'), 'verdict=may_have_run');
});

/*
 * Users' batches were cut between their Flush and their Sync the moment a daemon began to drain: what was answered up to the
 * Flush counted as all there was.
 */
test('a drain waits for the Sync of a batch that was answered up to a Flush', async () => {
  client.socket.write(
    Buffer.concat([
      serialize.parse({ text: "INSERT INTO record VALUES ('k', 1, 'v')" }),
      serialize.bind(),
      serialize.execute(),
      serialize.flush(),
    ]),
  );
  await waitUntil('the owner to be asked', () => forwarded.length === 1);
  forwarded[0]?.sink.end('I');
  await new Promise((resolve) => setImmediate(resolve));
  connection.closeWhenIdle();
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.equal(client.ofType('E').length, 0, 'no goodbye yet');
  client.socket.write(serialize.sync());
  await waitUntil('the owner to be asked', () => forwarded.length === 2);
  forwarded[1]?.sink.end('I');
  await client.waitForClose();
  assert.equal(client.ofType('Z').length, 1, 'the batch is answered to its end');
});
