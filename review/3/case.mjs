/**
 * One client prepares a statement; a rude peer at the same daemon sends a `PREPARE` in whose shape another one
 * is smuggled. Checks the rule PINNED: a member runs the shape that the client has prepared under the name.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { BROKEN, HELD, hasTrouble, runCase, WireClient } from '../standin/deployment.mjs';

const ROUNDS = 5;
/** What the peer prepares: a shape of one word, or with the words of another `PREPARE`. */
const RUDE_SHAPE = hasTrouble ? 'q1 WRITE z' : 'z';

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
  /** Shapes that the client has prepared, by the ids of the requests that execute them. */
  const preparedShapes = new Map();
  const ask = async (who, client, text, shape = null) => {
    const requestId = `${who}-${preparedShapes.size}-${Math.random().toString(16).slice(2, 10)}`;
    if (shape !== null) preparedShapes.set(requestId, shape);
    record.write(`${who} sends  QUERY ${requestId} ${text}`);
    const { rows, signature, error, errorText, state } = await client.query(text, requestId);
    const result =
      error === null ? `${JSON.stringify(rows)} COMPLETE ${signature}` : `ERROR ${error} ${errorText}`;
    record.write(`${who} gets   ${result} READY ${state}`);
    return rows;
  };

  for (const daemon of deployment.daemons.slice(0, 3)) {
    record.write(`at ${daemon.name}`);
    const client = await WireClient.start(daemon.clientAddress, 'quotes', 'client');
    const peer = await WireClient.start(daemon.clientAddress, 'quotes', 'peer');
    const thing = `policy-${daemon.name}`;
    await ask('client', client, 'PREPARE get READ q1');
    await ask('client', client, `WRITE ${thing} issued`);
    await ask('client', client, `EXECUTE get ${thing}`, 'READ q1');
    for (let round = 1; round <= ROUNDS; round += 1) {
      await ask('peer', peer, `PREPARE p${round} READ ${RUDE_SHAPE}`);
      await ask('peer', peer, `EXECUTE p${round} other`);
      await ask('client', client, `EXECUTE get ${thing}`, 'READ q1');
    }
    await ask('client', client, `READ ${thing}`);
    client.close();
    peer.close();
  }

  let broken = 0;
  for (const { memberId, requestId, text, preparedShape } of deployment.group.runs) {
    const expected = preparedShapes.get(requestId);
    const isBroken = expected !== undefined && preparedShape !== expected;
    if (isBroken) broken += 1;
    record.write(
      `${memberId} ran ${requestId} ${text}${preparedShape === null ? '' : ` with the shape ${preparedShape}`}` +
        (isBroken ? `; PINNED: its client had prepared ${expected}` : ''),
    );
  }
  for (const { index, writes } of deployment.group.primary.log)
    for (const { requestId, thing, data } of writes)
      record.write(`the log holds ${index}: ${requestId} wrote ${JSON.stringify(data)} to ${thing}`);
  record.write(`${broken} of ${preparedShapes.size} executions ran another shape than their client prepared`);
  return broken > 0 ? BROKEN : HELD;
});
