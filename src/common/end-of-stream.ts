/**
 * How a connection has ended whose stream the runtime reports as ended.
 *
 * The runtime reports an end of the stream also if it reads bytes and a reset at once. A process that ends closes its
 * connections in order; a network that is cut may reset them while the process runs. What the next write yields tells
 * them apart: nothing yet after an end in order, EPIPE if a reset has come behind it, ECONNRESET after a reset alone.
 *
 * @packageDocumentation
 */
import type { Socket } from 'node:net';

/**
 * Finds out whether the far end has closed a connection in order; to be called when its stream has ended, on a socket
 * that stays half open.
 *
 * @param last - bytes that a far end which is still there may be sent
 */
export function checkEndOfStream(
  socket: Socket,
  last: Buffer | string,
  done: (isInOrder: boolean) => void,
): void {
  socket.write(last, (error) => {
    done(error == null || ('code' in error && error.code === 'EPIPE'));
  });
}
