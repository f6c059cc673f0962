/**
 * Loopback addresses that one deployment has for itself, also beside other test runs on the same machine.
 *
 * @packageDocumentation
 */
import { createServer, type Server } from 'node:net';

/** Networks (values of the third octet) of a block: two for each zone. */
export const NETWORKS_PER_BLOCK = 10;
const BLOCKS = 25;
/** Address and port on which the owner of a block listens; no process of a deployment has them. */
const GUARD_HOST_NUMBER = 250;
const GUARD_PORT = 2378;

/** A claimed block of addresses. */
export class AddressBlock {
  private constructor(
    private readonly networkId: number,
    private readonly firstNetwork: number,
    private readonly guard: Server,
  ) {}

  /**
   * Claims a block that no running process holds.
   *
   * @param networkId - second octet of its addresses, 1 to 250
   */
  static async claim(networkId: number): Promise<AddressBlock> {
    for (let offset = 0; offset < BLOCKS; offset += 1) {
      const firstNetwork = ((process.pid + offset) % BLOCKS) * NETWORKS_PER_BLOCK;
      const guard = await listen(`127.${networkId}.${firstNetwork}.${GUARD_HOST_NUMBER}`);
      if (guard !== null) return new AddressBlock(networkId, firstNetwork, guard);
    }
    throw new Error(`no addresses left in network ${networkId}`);
  }

  /** An address of the block. */
  host(network: number, hostNumber: number): string {
    if (network >= NETWORKS_PER_BLOCK) throw new Error(`no network ${network} in a block`);
    return `127.${this.networkId}.${this.firstNetwork + network}.${hostNumber}`;
  }

  /** Gives the block up. */
  release(): void {
    this.guard.close();
  }
}

/** Listens on the guard port of a host; `null` if another process does. */
function listen(host: string): Promise<Server | null> {
  return new Promise((resolve, reject) => {
    const server = createServer((socket) => socket.destroy());
    server.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'EADDRINUSE') resolve(null);
      else reject(error);
    });
    server.listen(GUARD_PORT, host, () => resolve(server.unref()));
  });
}
