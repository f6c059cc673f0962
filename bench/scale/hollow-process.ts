/**
 * A process of the scale run: many daemons without clients, or many members.
 *
 * Hollow daemons are the real coordination code over real sockets; only clients are missing. Hollow members
 * are member stand-ins that do not replicate: the first of each group leads.
 *
 * @packageDocumentation
 */
import { Daemon } from '../../src/daemon/daemon.js';
import { createLogger } from '../../src/observability/logger.js';
import { parseSettings } from '../../src/settings/settings.js';
import { MemberServer, type MemberServerOptions } from '../../standin/member/member-server.js';

/** What the parent asks for. */
export type HollowRequest =
  | { readonly kind: 'members'; readonly members: readonly MemberServerOptions[] }
  | { readonly kind: 'daemons'; readonly settings: readonly string[] }
  | { readonly kind: 'report'; readonly isFull: boolean }
  | { readonly kind: 'stopDaemon'; readonly daemonId: string };

/** A request with the number that its answer carries. */
export interface HollowQuestion {
  readonly requestId: number;
  readonly request: HollowRequest;
}

/** The answer to every request. */
export interface HollowAnswer {
  readonly requestId: number;
  readonly report: HollowReport;
}

/** What a process reports. */
export interface HollowReport {
  /** Processor time so far, in microseconds. */
  readonly processorUs: number;
  readonly residentBytes: number;
  readonly heapBytes: number;
  readonly peerTrafficBytes: number;
  readonly platformTrafficBytes: number;
  readonly memberTrafficBytes: number;
  readonly lowestVersion: number;
  /** When the configuration came into force at the last daemon, in milliseconds since the epoch. */
  readonly lastAdoptedAt: number;
  readonly lowestPeerCount: number;
  readonly ownedDatabases: number;
  readonly pendingNews: number;
  /** Daemons that still take the given daemon for alive, by daemon id. */
  readonly aliveViews: Readonly<Record<string, number>>;
}

const daemons = new Map<string, Daemon>();

async function startMembers(members: readonly MemberServerOptions[]): Promise<void> {
  for (const options of members) await new MemberServer(options).start();
}

async function startDaemons(settings: readonly string[]): Promise<void> {
  for (const text of settings) {
    const parsed = parseSettings(text, new Map()).unsafeCoerce();
    const daemon = new Daemon(parsed, createLogger('silent', {}));
    daemons.set(parsed.daemon.id, daemon);
    await daemon.start();
  }
}

/** @param isFull - true to collect garbage first, so that the heap is what is in use */
function report(isFull: boolean): HollowReport {
  if (isFull) global.gc?.();
  const usage = process.cpuUsage();
  const memory = process.memoryUsage();
  const statuses = [...daemons.values()].map((daemon) => daemon.status());
  const aliveViews: Record<string, number> = {};
  for (const { peers } of statuses) {
    for (const { daemonId, state } of peers)
      if (state === 'alive') aliveViews[daemonId] = (aliveViews[daemonId] ?? 0) + 1;
  }
  return {
    processorUs: usage.user + usage.system,
    residentBytes: memory.rss,
    heapBytes: memory.heapUsed + memory.external,
    platformTrafficBytes: statuses.reduce((sum, { platformTrafficBytes }) => sum + platformTrafficBytes, 0),
    peerTrafficBytes: statuses.reduce((sum, { peerTrafficBytes }) => sum + peerTrafficBytes, 0),
    memberTrafficBytes: statuses.reduce((sum, { memberControlBytes }) => sum + memberControlBytes, 0),
    lowestVersion: Math.min(...statuses.map(({ configurationVersion }) => configurationVersion)),
    lastAdoptedAt: Math.max(...statuses.map(({ configurationAdoptedAt }) => configurationAdoptedAt)),
    lowestPeerCount: Math.min(...statuses.map(({ peers }) => peers.length)),
    ownedDatabases: statuses.reduce((sum, { peers, daemon }) => {
      return sum + (peers.find(({ daemonId }) => daemonId === daemon.id)?.ownedDatabases.length ?? 0);
    }, 0),
    pendingNews: statuses.reduce((sum, { pendingNews }) => sum + pendingNews, 0),
    aliveViews,
  };
}

async function handle(request: HollowRequest): Promise<void> {
  switch (request.kind) {
    case 'members':
      await startMembers(request.members);
      break;
    case 'daemons':
      await startDaemons(request.settings);
      break;
    case 'report':
      break;
    case 'stopDaemon': {
      const daemon = daemons.get(request.daemonId);
      daemons.delete(request.daemonId);
      await daemon?.stop();
      break;
    }
  }
}

process.on('message', ({ requestId, request }: HollowQuestion) => {
  void handle(request).then(() =>
    process.send?.({ requestId, report: report(request.kind === 'report' && request.isFull) }),
  );
});
process.on('disconnect', () => process.exit(0));
