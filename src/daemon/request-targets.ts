/**
 * Targets to which the router can send a request: this daemon's own engine, or another daemon.
 *
 * @packageDocumentation
 */
import type { DatabaseEngine } from '../engine/database-engine.js';
import type { ResponseSink, StatementRequest } from '../engine/statement-request.js';
import type { RequestTarget } from '../entry/request-router.js';
import type { PeerLink } from '../peer/peer-link.js';

/** Executes requests on this daemon's engine. */
export class LocalTarget implements RequestTarget {
  constructor(
    readonly daemonId: string,
    private readonly findEngine: (database: string) => DatabaseEngine | null,
  ) {}

  forward(request: StatementRequest, sink: ResponseSink & { lost(): void }, isAwaited: () => boolean): void {
    const engine = this.findEngine(request.database);
    if (engine === null) sink.notOwner();
    else void engine.execute(request, sink, isAwaited);
  }

  closeStream(database: string, streamId: string): void {
    this.findEngine(database)?.closeStream(streamId);
  }

  cancel(database: string, streamId: string): void {
    this.findEngine(database)?.cancel(streamId);
  }
}

/** Forwards requests to another daemon. */
export class RemoteTarget implements RequestTarget {
  constructor(
    readonly daemonId: string,
    private readonly link: PeerLink,
  ) {}

  forward(request: StatementRequest, sink: ResponseSink & { lost(): void }): void {
    this.link.forward(request, sink);
  }

  closeStream(database: string, streamId: string): void {
    this.link.sendAboutRequest({ kind: 'closeStream', database, streamId });
  }

  cancel(database: string, streamId: string): void {
    this.link.sendAboutRequest({ kind: 'cancel', database, streamId });
  }
}
