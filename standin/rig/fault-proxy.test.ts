/**
 * Connections through the proxy when the way is cut.
 *
 * A soak (reborn 9015) left a group without a leader: the next life of its leader refused everybody, since it counted 7 of 6 connections, of
 * which up to 15 (beside an earlier cut) had been closed by their callers while the way was cut. The proxy connected on as if there were a way,
 * and never delivered an end that a cut had held up; on a network an opening does not arrive, and a member drops a connection whose far end is dark.
 * Evidence: a trial that counted the connections whose caller had closed, at each refusal; `promotion_candidates why="core-m1 busy_dial"`.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, test } from 'node:test';
import { FaultProxy } from './fault-proxy.js';
import { waitUntil } from './wait-until.js';

const HOST = '127.0.0.1';
const CALLER = 'client';
const TARGET = 'member';

describe('a proxy whose way is cut', () => {
  let proxy: FaultProxy;
  let target: Server;
  let port = 0;
  const accepted = new Set<Socket>();
  /** All that came in, in order. */
  let received = '';

  beforeEach(async () => {
    accepted.clear();
    received = '';
    target = createServer((socket) => {
      accepted.add(socket);
      socket.on('data', (data) => (received += data.toString()));
      socket.on('close', () => accepted.delete(socket));
    });
    await new Promise<void>((resolve) => target.listen(0, HOST, resolve));
    proxy = new FaultProxy();
    const targetPort = (target.address() as AddressInfo).port;
    // The port of the proxy is taken from one that is free now.
    port = await freePort();
    await proxy.forward({ zone: TARGET, listenHost: HOST, port, targetHost: HOST, targetPort });
  });

  afterEach(() => {
    proxy.close();
    target.close();
    for (const socket of accepted) socket.destroy();
  });

  for (const [from, to] of [
    [CALLER, TARGET],
    [TARGET, CALLER],
  ] as const) {
    test(`opens no connection before it is healed (${from} to ${to})`, async () => {
      proxy.cutOneWay(from, to);
      const socket = await connected(port);
      socket.write('asked');
      const given = await connected(port);
      given.destroy();
      await closed(given);
      assert.equal(accepted.size, 0);
      proxy.heal();
      await waitUntil('the connection that was not given up', () => accepted.size === 1);
      await waitUntil('what was asked', () => received === 'asked');
      socket.destroy();
      await waitUntil('its end', () => accepted.size === 0);
    });
  }

  for (const isReset of [false, true]) {
    test(`delivers an end once it is healed (${isReset ? 'a reset' : 'an ordinary one'})`, async () => {
      const socket = await connected(port);
      await waitUntil('the connection', () => accepted.size === 1);
      proxy.cutOneWay(CALLER, TARGET);
      if (isReset) socket.resetAndDestroy();
      else socket.destroy();
      await closed(socket);
      assert.equal(accepted.size, 1);
      proxy.heal();
      await waitUntil('the end', () => accepted.size === 0);
    });
  }

  test('delivers what was asked while it was cut', async () => {
    const socket = await connected(port);
    await waitUntil('the connection', () => accepted.size === 1);
    proxy.isolate(CALLER, [TARGET]);
    socket.write('one ');
    socket.write('two');
    await new Promise((resolve) => setImmediate(resolve));
    assert.equal(received, '');
    proxy.heal();
    await waitUntil('both', () => received === 'one two');
  });
});

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

function connected(port: number): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const socket = connect({ host: HOST, port });
    socket.once('connect', () => resolve(socket)).once('error', reject);
  });
}

/** Resolves when the socket has closed, and the proxy has had a moment to see it. */
function closed(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    const soon = (): void => void setTimeout(resolve, 50);
    if (socket.closed) soon();
    else socket.once('close', soon);
  });
}
