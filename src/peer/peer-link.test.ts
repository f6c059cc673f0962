/**
 * A request that arrives after its sender has given up on the link must not be begun.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { test } from 'node:test';
import type { StatementRequest } from '../engine/statement-request.js';
import { LinkPatience } from './link-patience.js';
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

function write(streamId: string): StatementRequest {
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

/** Passes bytes on, or keeps those of the client back until they are released. */
class HoldingRelay {
  readonly #server: Server;
  readonly #held: (() => void)[] = [];
  #isHolding = false;

  constructor(targetPort: number) {
    this.#server = createServer((client) => this.#pair(client, connect(targetPort, '127.0.0.1')));
  }

  listen(): Promise<number> {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => resolve((this.#server.address() as AddressInfo).port));
    });
  }

  hold(): void {
    this.#isHolding = true;
  }

  release(): void {
    for (const send of this.#held.splice(0)) send();
  }

  close(): void {
    this.#server.close();
  }

  /** What one side sends still reaches the server after that side has closed, as on a slow network. */
  #pair(client: Socket, server: Socket): void {
    client.on('error', () => undefined);
    server.on('error', () => undefined);
    client.on('data', (chunk: Buffer) => {
      if (this.#isHolding) this.#held.push(() => server.write(chunk));
      else server.write(chunk);
    });
    server.on('data', (chunk: Buffer) => {
      if (!this.#isHolding) client.write(chunk);
    });
    server.on('close', () => client.destroy());
  }
}

/** Runs a request to its end, whichever it is. */
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
  let arrived = (): void => undefined;
  const server = new PeerServer({
    execute: ({ streamId }, sink, isAwaited) => {
      arrivals.set(streamId, isAwaited());
      sink.end('I');
      arrived();
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
  const relay = new HoldingRelay(port);
  const relayPort = await relay.listen();
  const link = new PeerLink(
    {
      host: '127.0.0.1',
      port: relayPort,
      localAddress: null,
      silenceTimeoutMs: SILENCE_TIMEOUT_MS,
      hello: () => RECORD,
    },
    { message: () => undefined, closed: () => undefined },
  );
  try {
    assert.equal(await forward(link, write('in time')), 'ended');
    relay.hold();
    assert.equal(await forward(link, write('late')), 'lost');
    const arrival = new Promise<void>((resolve) => (arrived = resolve));
    relay.release();
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
    relay.close();
    server.close();
  }
});

test('patience is never translated to more than it is, however late the clock was heard', () => {
  const patience = new LinkPatience(1000);
  assert.equal(patience.isClockKnown, false);
  // The other clock is 5000 ahead; what it told took 300 ms.
  patience.hearClock(5100 - 300, 100);
  assert.equal(patience.waitsUntilMs(100), 5100 - 300 + 1000);
  patience.hearClock(5200 - 10, 200);
  assert.equal(patience.waitsUntilMs(200), 5200 - 10 + 1000);
  patience.hearClock(5300 - 900, 300);
  assert.equal(patience.waitsUntilMs(300), 5300 - 10 + 1000);
});
