/**
 * A request that arrives after its sender has closed the link must not be started: its client was told that
 * it may have run, and may have written a newer value since.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { test } from 'node:test';
import type { StatementRequest } from '../engine/statement-request.js';
import { DeadlineTranslator } from './deadline-translator.js';
import { PeerLink, type ForwardSink } from './peer-link.js';
import { PeerServer } from './peer-server.js';

const SILENCE_TIMEOUT_MS = 2000;

const RECORD = {
  daemonId: 'd1',
  zone: 'a',
  host: '127.0.0.1',
  port: 1,
  incarnation: 1,
  sequence: 1,
  state: 'alive' as const,
  ownedDatabases: [],
};

function writeRequest(streamId: string): StatementRequest {
  return {
    database: 'quotes',
    user: 'agent',
    streamId,
    session: 's',
    zone: 'a',
    requestClass: '',
    onceKey: null,
    kind: 'write',
    isReadOnlyTransaction: false,
    leavesSessionState: false,
    controlsTransaction: false,
    settings: [],
    prepared: [],
    frames: new Uint8Array(),
    terminator: 'query',
    continues: 'nothing',
    remainingMs: null,
  };
}

/** Forwards bytes in both directions, or buffers those of the client until they are released. */
class DelayingProxy {
  readonly #server: Server;
  readonly #delayed: (() => void)[] = [];
  #isDelaying = false;

  constructor(targetPort: number) {
    this.#server = createServer((client) => this.#pair(client, connect(targetPort, '127.0.0.1')));
  }

  listen(): Promise<number> {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => resolve((this.#server.address() as AddressInfo).port));
    });
  }

  hold(): void {
    this.#isDelaying = true;
  }

  release(): void {
    for (const send of this.#delayed.splice(0)) send();
  }

  close(): void {
    this.#server.close();
  }

  /** Bytes of the client still reach the server after the client has closed, as on a slow network. */
  #pair(client: Socket, server: Socket): void {
    client.on('error', () => undefined);
    server.on('error', () => undefined);
    client.on('data', (chunk: Buffer) => {
      if (this.#isDelaying) this.#delayed.push(() => server.write(chunk));
      else server.write(chunk);
    });
    server.on('data', (chunk: Buffer) => {
      if (!this.#isDelaying) client.write(chunk);
    });
    server.on('close', () => client.destroy());
  }
}

/** Forwards a request and resolves with its outcome. */
function forward(link: PeerLink, request: StatementRequest): Promise<'ended' | 'lost'> {
  return new Promise((resolve) => {
    const sink: ForwardSink = {
      data: () => undefined,
      end: () => resolve('ended'),
      fail: () => resolve('ended'),
      notOwner: () => resolve('ended'),
      lost: () => resolve('lost'),
    };
    link.forward(request, sink);
  });
}

test('a request that arrives after its sender gave up on the link is not to be begun', async () => {
  const arrivals = new Map<string, boolean>();
  let onArrival = (): void => undefined;
  const server = new PeerServer({
    execute: ({ streamId }, sink, isAwaited) => {
      arrivals.set(streamId, isAwaited());
      sink.end('I');
      onArrival();
    },
    closeStream: () => undefined,
    cancel: () => undefined,
    hello: () => undefined,
    handle: () => undefined,
  });
  const probe = createServer().listen(0, '127.0.0.1');
  await new Promise((resolve) => probe.once('listening', resolve));
  const { port } = probe.address() as AddressInfo;
  await new Promise((resolve) => probe.close(resolve));
  await server.listen('127.0.0.1', port);
  const proxy = new DelayingProxy(port);
  const proxyPort = await proxy.listen();
  const link = new PeerLink(
    {
      host: '127.0.0.1',
      port: proxyPort,
      localAddress: null,
      silenceTimeoutMs: SILENCE_TIMEOUT_MS,
      hello: () => RECORD,
    },
    { message: () => undefined, closed: () => undefined },
  );
  try {
    assert.equal(await forward(link, writeRequest('in time')), 'ended');
    proxy.hold();
    assert.equal(await forward(link, writeRequest('late')), 'lost');
    const arrival = new Promise<void>((resolve) => (onArrival = resolve));
    proxy.release();
    await arrival;
    assert.deepEqual(
      [...arrivals],
      [
        ['in time', true],
        ['late', false],
      ],
    );
  } finally {
    link.close();
    proxy.close();
    server.close();
  }
});

test('the translated deadline is never later than the real one, however late the clock arrived', () => {
  const translator = new DeadlineTranslator(1000);
  assert.equal(translator.isClockKnown, false);
  // The remote clock is 5000 ms ahead; its reading took 300 ms to arrive.
  translator.recordRemoteClock(5100 - 300, 100);
  assert.equal(translator.remoteDeadlineMs(100), 5100 - 300 + 1000);
  translator.recordRemoteClock(5200 - 10, 200);
  assert.equal(translator.remoteDeadlineMs(200), 5200 - 10 + 1000);
  translator.recordRemoteClock(5300 - 900, 300);
  assert.equal(translator.remoteDeadlineMs(300), 5300 - 10 + 1000);
});
