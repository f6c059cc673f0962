/**
 * End to end: client, daemon and member as separate processes.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import pg from 'pg';
import { Deployment } from '../../standin/rig/deployment.js';

const POLICY = `
rules:
  - name: closed
    when: class == "closed"
    refuse: this class is closed
  - name: lookups
    when: class == "lookup" && kind == "read"
    replica: true
`;

let deployment: Deployment;

before(async () => {
  deployment = await Deployment.start({ networkId: 11, policy: POLICY });
});
after(() => deployment.stop());

async function connect(daemonId: string, options = ''): Promise<pg.Client> {
  const client = new pg.Client({
    ...deployment.clientAddress(daemonId),
    database: 'quotes',
    user: 'agent',
    options,
  });
  await client.connect();
  return client;
}

test('a write goes to the primary, a read to a replica, and a closed class is refused', async () => {
  const client = await connect('zone-a-d1', '-c sorrelladder.class=lookup');
  await client.query('CREATE TABLE quote (id text PRIMARY KEY, price int)');
  await client.query("INSERT INTO quote VALUES ('q1', 120)");
  const result = await client.query("SELECT price FROM quote WHERE id = 'q1'");
  assert.deepEqual(result.rows, [{ price: 120 }]);

  const refusal = client.query("SELECT 1 /*class='closed'*/");
  await assert.rejects(refusal, { code: '53400', detail: 'verdict=not_run' });

  const owner = (await deployment.findOwner('quotes')) ?? '';
  const metrics = await (await fetch(`${deployment.httpUrl(owner)}/metrics`)).text();
  assert.match(metrics, /statements_total\{database="quotes",kind="read",target="replica"\} 1/);
  await client.end();
});

test('a session that writes through one daemon sees its write through another', async () => {
  const options = '-c sorrelladder.class=lookup -c sorrelladder.session=agent-7';
  const [first, second] = [await connect('zone-b-d1', options), await connect('zone-c-d1', options)];
  for (let price = 1; price <= 20; price += 1) {
    await first.query(
      'INSERT INTO quote VALUES ($1, $2) ON CONFLICT (id) DO UPDATE SET price = excluded.price',
      ['q2', price],
    );
    const result = await second.query('SELECT price FROM quote WHERE id = $1', ['q2']);
    assert.deepEqual(result.rows, [{ price }]);
  }
  await Promise.all([first.end(), second.end()]);
});
