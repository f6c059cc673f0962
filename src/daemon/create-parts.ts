/**
 * Constructs the parts of a daemon from its settings. What a part calls is passed in by the daemon.
 *
 * @packageDocumentation
 */
import { ConfigurationStore } from '../configuration/configuration-store.js';
import { ClientServer, type ClientServerOptions } from '../entry/client-server.js';
import { MachineList } from '../machines/machine-list.js';
import { Gossip, type GossipOptions } from '../membership/gossip.js';
import { MembershipTable } from '../membership/membership-table.js';
import type { PeerRecord } from '../membership/peer-record.js';
import { PeerLinks, type PeerLinksOptions } from '../peer/peer-links.js';
import type { Settings } from '../settings/settings.js';
import { StoreClient } from '../store/store-client.js';

const FORGET_PEER_AFTER_MS = 60_000;
const MAX_UPDATES_PER_MESSAGE = 8;

/** The table of the daemons, with the record of this one. */
export function createMembershipTable(settings: Settings): MembershipTable {
  return new MembershipTable(createOwnRecord(settings), {
    suspicionTimeoutMs: settings.timing.suspicionTimeoutMs,
    forgetAfterMs: FORGET_PEER_AFTER_MS,
    maxUpdatesPerMessage: MAX_UPDATES_PER_MESSAGE,
  });
}

function createOwnRecord(settings: Settings): PeerRecord {
  const { host, port } = settings.advertise?.peer ?? settings.listen.peer;
  return {
    daemonId: settings.daemon.id,
    zone: settings.daemon.zone,
    host,
    port,
    incarnation: Date.now(),
    sequence: 1,
    state: 'alive',
    ownedDatabases: [],
  };
}

/** The links to other daemons. */
export function createPeerLinks(
  { timing, outboundAddress }: Settings,
  handlers: Pick<PeerLinksOptions, 'hello' | 'onMessage' | 'onLost'>,
): PeerLinks {
  return new PeerLinks({
    localAddress: outboundAddress,
    silenceTimeoutMs: timing.linkSilenceTimeoutMs,
    idleTimeoutMs: timing.linkIdleTimeoutMs,
    ...handlers,
  });
}

/** The gossip among daemons. */
export function createGossip(
  { timing }: Settings,
  surroundings: Omit<GossipOptions, 'intervalMs' | 'probeTimeoutMs' | 'indirectProbes' | 'syncIntervalMs'>,
): Gossip {
  return new Gossip({
    intervalMs: timing.gossipIntervalMs,
    probeTimeoutMs: timing.probeTimeoutMs,
    indirectProbes: 2,
    syncIntervalMs: timing.syncIntervalMs,
    ...surroundings,
  });
}

/** The list of machines; empty if the settings name none. */
export function createMachineList(
  { machineList, outboundAddress }: Settings,
  onChange: () => void,
): MachineList {
  const http =
    machineList === null
      ? null
      : { baseUrl: machineList.url, localAddress: outboundAddress, timeoutMs: machineList.timeoutMs };
  return new MachineList(http, machineList?.intervalMs ?? 1000, onChange);
}

/** The configuration in the store. */
export function createConfigurationStore({ store, outboundAddress }: Settings): ConfigurationStore {
  const client = new StoreClient({
    baseUrl: store.url,
    localAddress: outboundAddress,
    timeoutMs: store.timeoutMs,
  });
  return new ConfigurationStore(client, store.prefix);
}

/** The server for clients. */
export function createClientServer(
  { daemon, limits, timing }: Settings,
  surroundings: Pick<ClientServerOptions, 'router' | 'unavailable' | 'hasDatabase'>,
): ClientServer {
  return new ClientServer({
    daemonId: `${daemon.id}/${Date.now().toString(36)}`,
    zone: daemon.zone,
    maxConnections: limits.maxClientConnections,
    maxRequestBytes: limits.maxRequestBytes,
    maxUnreadBytes: limits.maxUnreadBytes,
    startupTimeoutMs: timing.startupTimeoutMs,
    ...surroundings,
  });
}
