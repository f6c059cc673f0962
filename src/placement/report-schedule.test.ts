/**
 * How often load is reported, and how many bytes that takes.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Packr } from 'msgpackr';
import { MAX_REPORTS_PER_S, REPORT_INTERVAL_MS, ReportBudget, ReportSchedule } from './report-schedule.js';

/** Load messages may take this much per daemon, in bytes per second. */
const MAX_BYTES_PER_S = 1000;

test('a member is reported every 250 ms on a connection, other members and connections separately', () => {
  const budget = new ReportBudget();
  const schedule = new ReportSchedule(budget);
  assert.equal(schedule.take('m', 0), true);
  assert.equal(schedule.take('m', REPORT_INTERVAL_MS - 1), false);
  assert.equal(schedule.take('n', REPORT_INTERVAL_MS - 1), true);
  assert.equal(new ReportSchedule(budget).take('m', REPORT_INTERVAL_MS - 1), true);
  assert.equal(schedule.take('m', REPORT_INTERVAL_MS), true);
});

test('the reports of a daemon take at most 1 kB/s, however many daemons borrow from it', () => {
  const budget = new ReportBudget();
  const connections = Array.from({ length: 1000 }, () => new ReportSchedule(budget));
  let sent = 0;
  for (let nowMs = 0; nowMs < 10_000; nowMs += 50)
    for (const connection of connections) if (connection.take('m', nowMs)) sent += 1;
  assert.equal(sent, 10 * MAX_REPORTS_PER_S);
  const codec = new Packr({ useRecords: true, int64AsType: 'number', sequential: true });
  const reply = { type: 'reply', loan: 70_000, reply: { rows: [], state: 'idle' } };
  const sizes = [reply, { ...reply, load: { inUse: 8, waiting: 900, serviceMs: 1200, heldMs: 34.567 } }].map(
    (message) => {
      codec.pack(message);
      return codec.pack(message).length;
    },
  );
  const reportBytes = (sizes[1] ?? 0) - (sizes[0] ?? 0);
  assert.ok(reportBytes > 0 && reportBytes * MAX_REPORTS_PER_S <= MAX_BYTES_PER_S, `${reportBytes} bytes`);
});
