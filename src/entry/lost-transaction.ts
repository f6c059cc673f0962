/**
 * Responds to the COMMIT or ROLLBACK that ends a transaction lost with the connection it ran on.
 *
 * @packageDocumentation
 */
import { commandComplete, emptyMessage, parameterDescription } from '../wire/backend-messages.js';
import { readDescribeOrClose } from '../wire/frontend-messages.js';
import { BackendType, FrontendType } from '../wire/message-types.js';

/** Builds the response to a COMMIT or ROLLBACK, as a server gives it when it rolls the transaction back. */
export function rollbackResponse(frames: readonly Buffer[]): Buffer {
  return Buffer.concat(frames.map(responseTo));
}

function responseTo(frame: Buffer): Buffer {
  switch (frame[0]) {
    case FrontendType.query:
    case FrontendType.execute:
      return commandComplete('ROLLBACK');
    case FrontendType.parse:
      return emptyMessage(BackendType.parseComplete);
    case FrontendType.bind:
      return emptyMessage(BackendType.bindComplete);
    case FrontendType.close:
      return emptyMessage(BackendType.closeComplete);
    case FrontendType.describe: {
      const noData = emptyMessage(BackendType.noData);
      if (readDescribeOrClose(frame).kind === 'portal') return noData;
      return Buffer.concat([parameterDescription([]), noData]);
    }
    default:
      return Buffer.alloc(0);
  }
}
