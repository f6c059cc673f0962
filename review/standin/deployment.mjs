/**
 * A small deployment for the cases of the review: the project's stand-ins of the store and of the members in
 * this process, and the daemons as processes, started by the `run` line of the deploy file.
 */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../..');

const STANDINS = join(ROOT, 'dist/platform/test/standin');
const { MemberServer } = await import(join(STANDINS, 'member-server.js'));
const { StandinGroup } = await import(join(STANDINS, 'member-group.js'));
const { StandinStore } = await import(join(STANDINS, 'store-server.js'));
const { FaultProxy } = await import(join(ROOT, 'dist/standin/rig/fault-proxy.js'));
export const { WireClient } = await import(join(STANDINS, 'wire-client.js'));

/** Exit codes of a case; `run.sh` turns them into those that the issue asks for. */
export const HELD = 0;
export const BROKEN = 10;
export const NOT_RUN = 2;

const RESULTS = {
  [HELD]: 'the rule held',
  [BROKEN]: 'the rule was broken',
  [NOT_RUN]: 'the case could not run',
};

/** False when the case is to be run without its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

const DAEMONS = 6;
const ZONES = ['lhr-a', 'lhr-b', 'lhr-c'];
const HEARTBEAT_MS = 1200;
/** Delay before a process that has ended is started again. */
const RESTART_MS = 500;
const READY_TIMEOUT_MS = 20_000;

/** Figures of `safar-quotes`. */
const SERVICE = {
  name: 'quote-core',
  zones: ZONES,
  slots: 3,
  maxConnections: 34,
  syncReplicas: 1,
  workMs: 3,
  lagMs: 8,
  promoteMs: 300,
};

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Writes `record.txt` of a case: what was sent, answered and run, with the seconds since the start. */
export class CaseRecord {
  #startedAtMs = performance.now();

  constructor(folder) {
    this.file = join(folder, 'record.txt');
    writeFileSync(this.file, `TROUBLE=${hasTrouble ? 1 : 0}\n`);
  }

  write(text) {
    const seconds = ((performance.now() - this.#startedAtMs) / 1000).toFixed(3);
    appendFileSync(this.file, `${seconds.padStart(8)}  ${text}\n`);
  }
}

/** A free port of a loopback address. */
async function freePort(host) {
  const server = createServer();
  server.listen(0, host);
  await once(server, 'listening');
  const { port } = server.address();
  server.close();
  await once(server, 'close');
  return port;
}

/** Processes that must not outlive this one, however it ends. */
const children = new Set();
process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL');
});
for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.on(signal, () => process.exit(NOT_RUN));

/** One daemon process, which is started again when it ends. */
class Daemon {
  /** Ends that this script did not cause: exit code or signal, time and the last lines of its output. */
  ownEnds = [];
  #process = null;
  #output = '';
  #isStopped = false;

  constructor(name, addresses, settingsFile, runLine, record) {
    this.name = name;
    this.addresses = addresses;
    this.zone = addresses.zone;
    this.settingsFile = settingsFile;
    this.runLine = runLine;
    this.record = record;
  }

  get clientAddress() {
    return this.addresses.front;
  }

  get pid() {
    return this.#process?.pid ?? null;
  }

  start() {
    this.#isStopped = false;
    const [program, ...args] = this.runLine.split(' ');
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, SORRELLADDER_NODE_FILE: this.settingsFile },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    children.add(child);
    this.#process = child;
    this.#output = '';
    const keep = (data) => {
      this.#output = (this.#output + data.toString()).slice(-500_000);
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.once('exit', (code, signal) => {
      children.delete(child);
      this.#handleExit(code, signal);
    });
  }

  /** The last resident size of the process in MB, or `null`. */
  get residentMb() {
    try {
      const match = /VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${this.pid}/status`, 'utf8'));
      return match === null ? null : Math.round(Number(match[1]) / 1024);
    } catch {
      return null;
    }
  }

  async isReady() {
    try {
      const { host, port } = this.addresses.ready;
      const answer = await fetch(`http://${host}:${port}/api/ready`, { signal: AbortSignal.timeout(1000) });
      return answer.status === 200;
    } catch {
      return false;
    }
  }

  /** Kills the process; it is started again by {@link Daemon.start} only. */
  async stop() {
    this.#isStopped = true;
    const child = this.#process;
    if (child === null || child.exitCode !== null || child.signalCode !== null) return;
    child.kill('SIGKILL');
    await once(child, 'exit');
  }

  /** The lines of its output that hold a text. */
  lines(text) {
    return this.#output.split('\n').filter((line) => line.includes(text));
  }

  #handleExit(code, signal) {
    if (this.#isStopped) return;
    const reason = /FATAL ERROR: [^\n]*/.exec(this.#output)?.[0] ?? this.#output.trim().split('\n').at(-1);
    this.ownEnds.push({ code, signal, reason });
    this.record.write(`${this.name} ended by itself: code ${code}, signal ${signal}; ${reason}`);
    setTimeout(() => {
      if (!this.#isStopped) this.start();
    }, RESTART_MS);
  }
}

/** The deployment of one case. */
export class Deployment {
  daemons = [];
  servers = [];
  /** Cuts the links between daemons and members; its zones are their names. */
  proxy = new FaultProxy();
  #folder = mkdtempSync(join(tmpdir(), 'review-'));
  #heartbeat = null;

  constructor(record) {
    this.record = record;
    this.group = new StandinGroup(SERVICE);
    const pause = this.group.pause.bind(this.group);
    this.group.pause = (member, term) => {
      this.onPause(member);
      pause(member, term);
    };
    this.store = new StandinStore((_group, memberId) => this.#promote(memberId), Math.random);
  }

  /** Called when a member is sent `PAUSE`. */
  onPause = () => undefined;
  /** Called when the platform is called to promote a member. */
  onPromotionCall = () => undefined;

  #promote(memberId) {
    this.record.write(`the platform is called to promote ${memberId}`);
    this.onPromotionCall(memberId);
    return this.group.promote(memberId);
  }

  /** The daemon that holds the promotion duty, or `undefined`. */
  get holder() {
    const item = this.store.state.get('sorrelladder/duty');
    if (item === null) return undefined;
    const { holder } = JSON.parse(Buffer.from(item.value, 'base64').toString());
    return this.daemons.find(({ name }) => name === holder);
  }

  /** Starts the stand-ins and the daemons, and waits until all daemons are ready. */
  async start() {
    const network = `127.${64 + (process.pid % 128)}.${(process.pid >> 7) % 250}`;
    const storeHost = `${network}.1`;
    const storePort = await this.store.listen(storeHost, 0);
    for (const [index, member] of this.group.members.entries()) {
      const server = new MemberServer(this.group, member, Math.random);
      const listenHost = `${network}.${10 + index}`;
      const targetHost = `${network}.${40 + index}`;
      const port = await freePort(listenHost);
      await server.listen(targetHost, 0);
      const targetPort = Number(server.address.split(':')[1]);
      await this.proxy.forward({ zone: member.memberId, listenHost, port, targetHost, targetPort });
      this.servers.push({ server, member, address: `${listenHost}:${port}` });
    }
    this.#writeMembers();
    this.#heartbeat = setInterval(() => this.#writeMembers(), HEARTBEAT_MS);
    this.#configure();
    const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
    const runLine = /^run = "(.*)"$/m.exec(deploy)[1];
    const template = readFileSync(join(ROOT, /^template = "(.*)"$/m.exec(deploy)[1]), 'utf8');
    for (let index = 0; index < DAEMONS; index += 1)
      this.daemons.push(
        await this.#createDaemon(index, network, `${storeHost}:${storePort}`, template, runLine),
      );
    for (const daemon of this.daemons) daemon.start();
    const untilMs = performance.now() + READY_TIMEOUT_MS;
    for (const daemon of this.daemons)
      while (!(await daemon.isReady())) {
        if (performance.now() > untilMs) throw new Error(`${daemon.name} is not ready in time`);
        await sleep(50);
      }
    this.record.write(`${DAEMONS} daemons are ready; ${runLine}`);
  }

  async stop() {
    if (this.#heartbeat !== null) clearInterval(this.#heartbeat);
    await Promise.all(this.daemons.map((daemon) => daemon.stop()));
    for (const { server } of this.servers) server.close();
    this.proxy.close();
    this.store.close();
    rmSync(this.#folder, { recursive: true });
  }

  async #createDaemon(index, network, storeAddress, template, runLine) {
    const host = `${network}.${100 + index}`;
    const zone = ZONES[index % ZONES.length];
    const name = `front-${zone}-${1 + Math.floor(index / ZONES.length)}`;
    const front = { host, port: await freePort(host) };
    const ready = { host, port: await freePort(host) };
    const fields = {
      node: name,
      role: 'relay',
      machineClass: 'front',
      serves: ['front'],
      ip: host,
      zone,
      region: 'pk-central',
      internalPorts: [7440, 7455],
      bootstrap: true,
      heartbeatMs: HEARTBEAT_MS,
      zones: Object.fromEntries(ZONES.map((each) => [each, 'pk-central'])),
      listen: { front: `${host}:${front.port}`, ready: `${host}:${ready.port}` },
      limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4300, linkMbps: 1000, diskMb: 0 },
      bounds: { drainMs: 7000, graceS: 6, configMs: 3000, contactMs: 4000, fencingRequired: false },
      platform: { address: storeAddress, form: 'kv' },
      cloudApi: { address: storeAddress, duties: ['failover'], dutyPerS: 50 },
    };
    const file = join(this.#folder, `${name}.json`);
    writeFileSync(file, template.replace('{{.|json}}', JSON.stringify(fields)));
    this.proxy.registerSource(host, name);
    return new Daemon(name, { front, ready, zone }, file, runLine, this.record);
  }

  #configure() {
    const route = {
      name: 'policy-issue',
      hostname: 'quotes',
      pathPrefix: '/',
      routeKind: 'primary',
      timeoutMs: 800,
      targetLatencyMs: 150,
      priority: 1,
      backend: SERVICE.name,
    };
    const document = {
      serial: 1,
      routes: [route],
      services: [
        { name: SERVICE.name, maxConns: SERVICE.maxConnections, syncReplicas: SERVICE.syncReplicas },
      ],
      limits: { txIdleMs: 3000 },
    };
    this.store.state.put('op/config', Buffer.from(JSON.stringify(document)).toString('base64'));
  }

  #writeMembers() {
    for (const { member, address } of this.servers) {
      const entry = {
        backend: SERVICE.name,
        address,
        zone: member.zone,
        serial: 'v1',
        slots: SERVICE.slots,
        state: 'ready',
        coldLeftMs: 0,
        callSeq: 0,
        dbRole: member.role,
      };
      const value = Buffer.from(JSON.stringify(entry)).toString('base64');
      const key = `servers/${member.memberId}`;
      if (this.store.state.get(key)?.value !== value) this.store.state.put(key, value);
    }
  }
}

/** Runs a case in its folder, ends all that it started, and exits with the result. */
export async function runCase(folder, body) {
  const record = new CaseRecord(folder);
  const deployment = new Deployment(record);
  let code = NOT_RUN;
  try {
    await deployment.start();
    code = await body(deployment, record);
  } catch (error) {
    record.write(`could not run: ${error instanceof Error ? error.stack : String(error)}`);
  }
  await deployment.stop();
  record.write(RESULTS[code]);
  process.exit(code);
}
