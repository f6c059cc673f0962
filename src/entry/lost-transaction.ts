/**
 * Answers the requests of a client whose transaction was lost with its connection, until it rolls back.
 *
 * @packageDocumentation
 */
import { commandComplete, emptyMessage, parameterDescription } from '../wire/backend-messages.js';
import { readObjectReference } from '../wire/frontend-messages.js';
import { BackendType, FrontendType } from '../wire/message-types.js';

/** Replies to a request that ends the lost transaction, as if a server had rolled it back. */
export function answerRollback(frames: readonly Buffer[]): Buffer {
  return Buffer.concat(frames.map(answerOne));
}

function answerOne(frame: Buffer): Buffer {
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
      if (readObjectReference(frame).kind === 'portal') return noData;
      return Buffer.concat([parameterDescription([]), noData]);
    }
    default:
      return Buffer.alloc(0);
  }
}
