/**
 * The error sent to a client whose connection the daemon closes, at the end of a drain or after invalid
 * input.
 *
 * Guards against a false `not_run` verdict: the drain ended before the owner responded, and the client
 * received `FATAL 57P01 verdict=not_run` ("the daemon is stopping") as the only response to a write that had
 * been forwarded to the owner and was then found to be committed. The error was the same whether or not a
 * request was running.
 */
import assert from 'node:assert/strict';
import { createServer, type Server, type AddressInfo } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { serialize } from 'pg-protocol';
import { errorField, RawClient } from '../../test/support/raw-client.js';
import { waitUntil } from '../../standin/rig/wait-until.js';
import type { ResponseSink, StatementRequest } from '../engine/statement-request.js';
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
let mayInputPredatePause: boolean;
/** Requests that were forwarded to the owner, and the sinks for their responses. */
let forwarded: { readonly request: StatementRequest; readonly sink: ResponseSink }[];

beforeEach(async () => {
  forwarded = [];
  mayInputPredatePause = false;
  const owner = {
    daemonId: 'owner',
    forward: (request: StatementRequest, sink: ResponseSink) => void forwarded.push({ request, sink }),
    closeStream: () => undefined,
    cancel: () => undefined,
  };
  const router = new RequestRouter({
    targets: () => [owner],
    evaluatePolicy: () => DECISION,
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
      mayInputPredatePause: () => mayInputPredatePause,
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

/** Sends a query and waits until it was forwarded to the owner. */
async function sendQuery(text: string): Promise<ResponseSink> {
  const count = forwarded.length;
  client.socket.write(serialize.query(text));
  await waitUntil('the owner to receive the request', () => forwarded.length > count);
  const sink = forwarded.at(-1)?.sink;
  assert.ok(sink !== undefined);
  return sink;
}

/**
 * Closes the connection as at the end of a drain, and returns the verdict of the error sent to the client.
 */
function closingVerdict(): Promise<string | null> {
  connection.closeNow();
  return fatalVerdict('57P01');
}

/** Waits until the connection is closed, and returns the verdict of its FATAL error. */
async function fatalVerdict(sqlState: string): Promise<string | null> {
  await client.waitForClose();
  const [frame] = client.ofType('E');
  assert.equal(errorField(frame, 'S'), 'FATAL');
  assert.equal(errorField(frame, 'C'), sqlState);
  return errorField(frame, 'D');
}

test('a running write may have run when the connection is closed', async () => {
  await sendQuery("INSERT INTO record VALUES ('k', 1, 'v')");
  assert.equal(await closingVerdict(), 'verdict=may_have_run');
});

test('a running commit may have run when the connection is closed', async () => {
  (await sendQuery('BEGIN')).end('T');
  await sendQuery('COMMIT');
  assert.equal(await closingVerdict(), 'verdict=may_have_run');
});

test('a running write with another write queued behind it may have run', async () => {
  await sendQuery("INSERT INTO record VALUES ('k', 1, 'v')");
  client.socket.write(serialize.query("INSERT INTO record VALUES ('l', 1, 'v')"));
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.equal(await closingVerdict(), 'verdict=may_have_run');
  assert.equal(forwarded.length, 1, 'the queued write is not run');
});

test('a running write inside a transaction is rolled back and reported as not run', async () => {
  (await sendQuery('BEGIN')).end('T');
  await sendQuery("INSERT INTO record VALUES ('k', 1, 'v')");
  assert.equal(await closingVerdict(), 'verdict=not_run');
});

test('an idle transaction is rolled back and reported as not run', async () => {
  (await sendQuery('BEGIN')).end('T');
  await client.waitForType('Z', 1);
  assert.equal(await closingVerdict(), 'verdict=not_run');
});

test('a connection without a running request is reported as not run', async () => {
  (await sendQuery("INSERT INTO record VALUES ('k', 1, 'v')")).end('I');
  await client.waitForType('Z', 1);
  assert.equal(await closingVerdict(), 'verdict=not_run');
});

test('a running write may have run when its client sends a malformed message', async () => {
  await sendQuery("INSERT INTO record VALUES ('k', 1, 'v')");
  client.socket.write(Buffer.from([0, 0, 0, 0, 4]));
  assert.equal(await fatalVerdict('08P01'), 'verdict=may_have_run');
});

test('a running write may have run when its client sends input that may predate a pause', async () => {
  await sendQuery("INSERT INTO record VALUES ('k', 1, 'v')");
  mayInputPredatePause = true;
  client.socket.write(serialize.query("INSERT INTO record VALUES ('l', 1, 'v')"));
  assert.equal(await fatalVerdict('57P01'), 'verdict=may_have_run');
});

/*
 * Guards against closing a connection between the Flush and the Sync of a batch as soon as a drain begins:
 * the response up to the Flush was taken for the complete response.
 */
test('a drain waits for the Sync of a batch whose response up to a Flush is complete', async () => {
  client.socket.write(
    Buffer.concat([
      serialize.parse({ text: "INSERT INTO record VALUES ('k', 1, 'v')" }),
      serialize.bind(),
      serialize.execute(),
      serialize.flush(),
    ]),
  );
  await waitUntil('the owner to receive the request', () => forwarded.length === 1);
  forwarded[0]?.sink.end('I');
  await new Promise((resolve) => setImmediate(resolve));
  connection.closeWhenIdle();
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.equal(client.ofType('E').length, 0, 'the connection is still open');
  client.socket.write(serialize.sync());
  await waitUntil('the owner to receive the request', () => forwarded.length === 2);
  forwarded[1]?.sink.end('I');
  await client.waitForClose();
  assert.equal(client.ofType('Z').length, 1, 'the response to the whole batch is complete');
});
