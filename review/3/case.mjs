/**
 * Rude peers send a message without an end to two of six daemons, each slower than its link. Checks the rule
 * Fault: processes end by themselves three times on a tenth of the machines in use, two at least, with no
 * disruption of the machine or its links.
 */
import { once } from 'node:events';
import { connect } from 'node:net';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { BROKEN, HELD, hasTrouble, runCase, sleep, WireClient } from '../standin/deployment.mjs';

const ATTACKED = 2;
const ENDS_THAT_COUNT = 3;
/** Four tenths of a link of 1,000 Mbit/s, in steps of 10 ms: no packet waits at the link. */
const BYTES_PER_STEP = 500_000;
const STEP_MS = 10;
/** Most that a peer sends on one connection. */
const MAX_MESSAGE_BYTES = 300_000_000;
const TIME_LIMIT_MS = 75_000;
/** How long the case goes on without the disruption. */
const QUIET_MS = 20_000;
const CLIENT_PAUSE_MS = 100;

/** Sends the beginning of a message and never its end, until the connection is over. */
async function sendEndlessMessage(daemon, record, mayGoOn) {
  const socket = connect({ ...daemon.clientAddress, allowHalfOpen: true });
  let end = 'the peer stops';
  socket.on('error', (error) => (end = error.code ?? error.message));
  let answer = '';
  socket.on('data', (data) => (answer += data.toString('latin1')));
  const closed = once(socket, 'close').catch(() => undefined);
  await Promise.race([once(socket, 'connect').catch(() => undefined), closed]);
  let sentBytes = 0;
  let largestMb = 0;
  if (!socket.destroyed) {
    socket.write('STARTUP quotes peer\r\nQUERY 5c0e7a21d94b36f8 WRITE 1a4 ');
    const part = Buffer.alloc(BYTES_PER_STEP, 'x');
    while (!socket.destroyed && sentBytes < MAX_MESSAGE_BYTES && mayGoOn()) {
      if (!socket.write(part)) await Promise.race([once(socket, 'drain').catch(() => undefined), closed]);
      sentBytes += part.length;
      largestMb = Math.max(largestMb, daemon.residentMb ?? 0);
      await sleep(STEP_MS);
    }
  }
  socket.destroy();
  await closed;
  record.write(
    `a peer of ${daemon.name} sent ${Math.round(sentBytes / 1e6)} MB of one message and got ` +
      `${JSON.stringify(answer)}; its connection ended: ${end}; the daemon took up to ${largestMb} MB`,
  );
  return sentBytes;
}

/** A client that writes now and then, and connects again when its connection ends. */
async function runClient(daemon, record, counts, mayGoOn) {
  let client = null;
  for (let number = 0; mayGoOn(); number += 1) {
    try {
      client ??= await WireClient.start(daemon.clientAddress, 'quotes', 'client');
      const { error } = await client.query(`WRITE policy-${daemon.name} ${number}`);
      counts[error === null ? 'served' : 'refused'] += 1;
    } catch (error) {
      client = null;
      counts.cut += 1;
      if (counts.cut <= 20) record.write(`a client of ${daemon.name}: ${String(error)}`);
    }
    await sleep(CLIENT_PAUSE_MS);
  }
  client?.close();
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
  const attacked = deployment.daemons.slice(0, ATTACKED);
  const untilMs = performance.now() + (hasTrouble ? TIME_LIMIT_MS : QUIET_MS);
  const isBroken = () => attacked.every(({ ownEnds }) => ownEnds.length >= ENDS_THAT_COUNT);
  const mayGoOn = () => performance.now() < untilMs && !isBroken();
  const counts = { served: 0, refused: 0, cut: 0 };
  const clients = deployment.daemons.map((daemon) => runClient(daemon, record, counts, mayGoOn));
  const peers = attacked.map(async (daemon) => {
    while (hasTrouble && mayGoOn() && daemon.ownEnds.length < ENDS_THAT_COUNT) {
      while (mayGoOn() && !(await daemon.isReady())) await sleep(100);
      if (mayGoOn()) await sendEndlessMessage(daemon, record, mayGoOn);
      await sleep(100);
    }
  });
  await Promise.all([...clients, ...peers]);
  for (const { name, ownEnds } of deployment.daemons)
    record.write(
      `${name}: ${ownEnds.length} ends of its own${ownEnds.map(({ signal, code }) => `, ${signal ?? code}`).join('')}`,
    );
  record.write(
    `clients' writes: ${counts.served} served, ${counts.refused} refused, ${counts.cut} cut or not connected`,
  );
  return isBroken() ? BROKEN : HELD;
});
