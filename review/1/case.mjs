/**
 * A daemon is killed and starts again while the holder of the promotion duty, which is partitioned from the
 * primary and from one replica, replaces the primary. Checks the rule LOST: what is acknowledged to a client is in
 * the log of the member that is promoted.
 *
 * Several rounds, up to the first loss: the daemon has to be up after the last order of the holder, right before its
 * call to the platform, and before the promotion 300 ms later; how long it takes to start depends on the machine.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { BROKEN, HELD, hasTrouble, runCase, sleep, WireClient } from '../standin/deployment.mjs';

/** Time before each round in which all daemons are registered and reach all members. */
const SETTLE_MS = 5000;
/** From the kill to the partition of the holder: it has asked the primary for its position by then. */
const CUT_AFTER_KILL_MS = 700;
/** From the first pause of a replica to the call to the platform; measured in each round. */
const CALL_AFTER_PAUSE_MS = 640;
/** How long before the expected call the daemon is started, round by round: more for a slower machine. */
const START_BEFORE_CALL_MS = [0, 100, 200, 300, 400, 500];
const CALL_TIMEOUT_MS = 10_000;
const LEAD_TIMEOUT_MS = 5000;
/** Time after the promotion in which the members agree on the log. */
const AFTERMATH_MS = 1500;

const timeout = (ms) => sleep(ms).then(() => null);

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, record) => {
  const { group, proxy } = deployment;
  /** Data of the writes that were acknowledged. */
  const acknowledged = [];
  let number = 0;
  const write = async (client) => {
    number += 1;
    const data = `v${number}`;
    const text = `WRITE policy-${number} ${data}`;
    record.write(`the client sends ${text}`);
    try {
      const { signature, error, errorText } = await client.query(text);
      record.write(
        `the client gets  ${error === null ? `COMPLETE ${signature}` : `ERROR ${error} ${errorText}`}`,
      );
      if (error === null) acknowledged.push(data);
      return true;
    } catch (error) {
      record.write(`the client's connection: ${String(error)}`);
      return false;
    }
  };
  const openClient = (daemon) => WireClient.start(daemon.clientAddress, 'quotes', 'client');
  /** Compares the acknowledged writes with the log of the member that leads. */
  const findLost = (leader) => {
    const held = new Set(leader.log.flatMap(({ writes }) => writes.map(({ data }) => data)));
    record.write(`acknowledged: ${acknowledged.join(' ')}`);
    record.write(`in the log of ${leader.memberId}, which leads: ${[...held].join(' ')}`);
    const lost = acknowledged.filter((data) => !held.has(data));
    record.write(`LOST: ${lost.length === 0 ? 'none' : lost.join(' ')}`);
    return lost;
  };

  if (!hasTrouble) {
    await sleep(SETTLE_MS);
    const client = await openClient(deployment.daemons[1]);
    for (let count = 0; count < 200; count += 1) {
      await write(client);
      await sleep(20);
    }
    return findLost(group.primary).length > 0 ? BROKEN : HELD;
  }

  /** True if commits were lost. */
  const runRound = async (startBeforeCallMs) => {
    await sleep(SETTLE_MS);
    const { holder } = deployment;
    const leader = group.primary;
    const replicas = group.members.filter((member) => member !== leader);
    const restarted = deployment.daemons.find(
      (daemon) => daemon !== holder && replicas.some(({ zone }) => zone === daemon.zone),
    );
    const near = replicas.find(({ zone }) => zone === restarted.zone);
    record.write(
      `${holder.name} holds the duty; ${leader.memberId} leads; ` +
        `${replicas.map(({ memberId }) => memberId).join(' and ')} follow; ${restarted.name} is to be restarted`,
    );
    // Reads at the holder: without requests, it would notice later that the primary does not answer.
    let isOver = false;
    const reader = await openClient(holder);
    const reading = (async () => {
      while (!isOver && !reader.hasEnded) {
        await reader.query('READ policy-1').catch(() => undefined);
        await sleep(50);
      }
    })();
    const first = await openClient(restarted);
    for (let count = 0; count < 3; count += 1) await write(first);
    await restarted.stop();
    record.write(`${restarted.name} is killed`);
    await sleep(CUT_AFTER_KILL_MS);
    const paused = new Promise((resolve) => (deployment.onPause = () => resolve(performance.now())));
    const called = new Promise((resolve) => (deployment.onPromotionCall = () => resolve(performance.now())));
    const led = new Promise((resolve) => (group.onLead = resolve));
    proxy.isolate(holder.name, [leader.memberId, near.memberId]);
    record.write(`${holder.name} is partitioned from ${leader.memberId} and ${near.memberId}`);
    const pausedAtMs = await Promise.race([paused, timeout(CALL_TIMEOUT_MS)]);
    if (startBeforeCallMs > 0) await sleep(CALL_AFTER_PAUSE_MS - startBeforeCallMs);
    else await Promise.race([called, timeout(CALL_TIMEOUT_MS)]);
    restarted.start();
    record.write(`${restarted.name} is started again`);
    let promoted = null;
    let isWaiting = true;
    const leading = Promise.race([led, timeout(LEAD_TIMEOUT_MS)]).then((member) => {
      promoted = member;
      isWaiting = false;
      record.write(member === null ? 'no member leads' : `${member.memberId} leads term ${member.term}`);
    });
    while (isWaiting) {
      const client = await openClient(restarted).catch(() => null);
      while (client !== null && isWaiting && (await write(client))) await sleep(5);
      client?.close();
      await sleep(5);
    }
    await leading;
    await sleep(AFTERMATH_MS);
    isOver = true;
    reader.close();
    await reading;
    const calledAtMs = await Promise.race([called, timeout(0)]);
    if (calledAtMs !== null && pausedAtMs !== null)
      record.write(`the call came ${Math.round(calledAtMs - pausedAtMs)} ms after the first pause`);
    for (const line of holder.lines('event=promotion_').slice(-4)) record.write(line);
    for (const text of ['event=evidence_', 'event=order'])
      for (const line of restarted.lines(text)) record.write(line);
    proxy.heal();
    return promoted !== null && findLost(promoted).length > 0;
  };

  let isBroken = false;
  for (const [index, startBeforeCallMs] of START_BEFORE_CALL_MS.entries()) {
    record.write(`round ${index + 1}`);
    isBroken = await runRound(startBeforeCallMs);
    if (isBroken) break;
  }
  for (const { memberId, requestId, text } of group.runs)
    if (text.startsWith('WRITE')) record.write(`${memberId} ran ${requestId} ${text}`);
  return isBroken ? BROKEN : HELD;
});
