/**
 * Runs the same suite with two independent client libraries through a daemon.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { Deployment } from '../../standin/rig/deployment.js';
import { waitUntil } from '../../standin/rig/wait-until.js';
import { readStatementCount } from '../../bench/experiment/metrics-reader.js';
import { openPg, openPostgres, type ClientTarget, type SqlClient } from '../support/sql-client.js';

let deployment: Deployment;

before(async () => {
  deployment = await Deployment.start({ networkId: 12 });
  const setup = await openPg(target('zone-a-d1'));
  await setup.query('CREATE TABLE item (id int PRIMARY KEY, name text, price float8, active bool)');
  await setup.end();
});
after(() => deployment.stop());

function target(daemonId: string): ClientTarget {
  return { ...deployment.clientAddress(daemonId), database: 'quotes', options: '' };
}

/** Ids of the daemon that owns the database and of one that does not. */
async function ownerAndOther(): Promise<readonly string[]> {
  const owner = (await deployment.findOwner('quotes')) ?? '';
  const other = [...deployment.daemons.keys()].find((daemonId) => daemonId !== owner) ?? '';
  return [owner, other];
}

const LIBRARIES = [
  { name: 'pg', open: openPg, firstId: 1000 },
  { name: 'postgres', open: openPostgres, firstId: 2000 },
] as const;

for (const { name, open, firstId } of LIBRARIES) {
  for (const place of [0, 1]) {
    const label = `${name} through ${place === 0 ? 'the owner' : 'another daemon'}`;
    const id = firstId + place * 100;

    const withClient = async (work: (client: SqlClient) => Promise<void>): Promise<void> => {
      const client = await open(target((await ownerAndOther())[place] ?? ''));
      try {
        await work(client);
      } finally {
        await client.end();
      }
    };

    test(`${label}: types and nulls`, () =>
      withClient(async (client) => {
        const [row] = await client.query(
          "SELECT 1::int AS i, 1.5::float8 AS f, 'x' AS t, true AS b, NULL AS n",
        );
        assert.deepEqual({ ...row }, { i: 1, f: 1.5, t: 'x', b: true, n: null });
        await client.query('INSERT INTO item VALUES ($1::int, $2, $3::float8, $4::bool)', [
          id,
          null,
          2.5,
          false,
        ]);
        const [stored] = await client.query('SELECT * FROM item WHERE id = $1::int', [id]);
        assert.deepEqual({ ...stored }, { id, name: null, price: 2.5, active: false });
      }));

    test(`${label}: a result of more than a megabyte`, () =>
      withClient(async (client) => {
        const rows = await client.query(
          "SELECT generate_series, repeat('x', 1000) AS filler FROM generate_series(1, 2000)",
        );
        assert.equal(rows.length, 2000);
        assert.equal(String(rows[1999]?.['filler']).length, 1000);
      }));

    test(`${label}: an error in mid-transaction rolls it back`, () =>
      withClient(async (client) => {
        await client.query('BEGIN');
        await client.query(`INSERT INTO item VALUES (${id + 1}, 'lost', 1, true)`);
        await assert.rejects(client.query('SELECT * FROM no_such_table'), { code: '42P01' });
        await assert.rejects(client.query('SELECT 1'), { code: '25P02' });
        await client.query('ROLLBACK');
        assert.deepEqual([...(await client.query(`SELECT id FROM item WHERE id = ${id + 1}`))], []);
      }));

    test(`${label}: a hundred concurrent queries are answered in order`, () =>
      withClient(async (client) => {
        const numbers = Array.from({ length: 100 }, (_, i) => i);
        const results = await Promise.all(numbers.map((i) => client.query('SELECT $1::int AS n', [i])));
        assert.deepEqual(
          results.map(([row]) => row?.['n']),
          numbers,
        );
      }));

    test(`${label}: prepared statements outlive the connections they were made on`, () =>
      withClient(async (client) => {
        const others = await Promise.all([0, 1, 2, 3, 4, 5].map(() => open(target('zone-b-d1'))));
        for (let round = 0; round < 10; round += 1) {
          const busy = others.map((other) => other.query('SELECT pg_sleep(0.005)'));
          const [row] = await client.prepared('add', 'SELECT $1::int + 1 AS n', [round]);
          assert.equal(row?.['n'], round + 1);
          await Promise.all(busy);
        }
        await Promise.all(others.map((other) => other.end()));
      }));

    test(`${label}: a cancel request ends the running query only`, () =>
      withClient(async (client) => {
        const before = await readStatementCount(deployment);
        const slow = client.start('SELECT pg_sleep(30)');
        const failure = assert.rejects(slow.result, { code: '57014' });
        await waitUntil('the query to run', async () => (await readStatementCount(deployment)) > before);
        await slow.cancel();
        await failure;
        const [row] = await client.query('SELECT 5::int AS n');
        assert.equal(row?.['n'], 5);
      }));

    test(`${label}: a session setting applies to its client only`, () =>
      withClient(async (client) => {
        const other = await open(target('zone-c-d1'));
        await client.query(`SET my.tag = '${label}'`);
        for (let round = 0; round < 5; round += 1) {
          const [own] = await client.query("SELECT current_setting('my.tag') AS tag");
          assert.equal(own?.['tag'], label);
          const [foreign] = await other.query("SELECT current_setting('my.tag') AS tag");
          assert.equal(foreign?.['tag'], '');
        }
        await other.end();
      }));
  }
}
