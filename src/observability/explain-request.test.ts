/**
 * Selection of the log lines that explain a request, from lines in the format that daemons write.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { explainRequest } from './explain-request.js';
import { parseLogLine, type LogLine } from './log-line.js';

function lines(text: string): LogLine[] {
  return text.split('\n').flatMap((line) => parseLogLine(line) ?? []);
}

const LOG = lines(`
   5.00 front-1 time=2026-04-05T01:00:00.000Z level=info event=member_suspected node=front-1 group=other member=m9 reason=silent
   5.10 front-1 time=2026-04-05T01:00:05.100Z level=info event=promotion_begins node=front-2 group=core leader=m1 term=3 reason="leader is silent"
   5.20 front-1 time=2026-04-05T01:00:05.200Z level=info event=write_again node=front-1 requestId=abc member=m1 reason="no connection: \\"late\\""
   5.25 front-2 time=2026-04-05T01:00:05.250Z level=info event=order node=front-1 kind=revoke groupName=core term=3
   5.60 front-1 time=2026-04-05T01:00:05.600Z level=info event=refused node=front-1 requestId=abc statement=write code=busy verdict=not_run reason="no leader" heldMs=500 group=core
   5.61 front-3 time=2026-04-05T01:00:05.610Z level=info event=store_lost node=front-3 reason=x
   5.62 front-1 time=2026-04-05T01:00:05.620Z level=info event=store_lost node=front-1 reason=x
   5.63 front-1 time=2026-04-05T01:00:05.630Z level=info event=refused node=front-1 requestId=xyz code=busy verdict=not_run heldMs=1 group=core
   9.99 front-1 time=2026-04-05T01:00:30.000Z level=info event=promotion_ends node=front-2 group=core leader=m2
no line of a daemon
`);

describe('a log line', () => {
  test('is parsed with quoted values and a prefix added by a log collector', () => {
    const again = LOG.find(({ event }) => event === 'write_again');
    assert.equal(again?.node, 'front-1');
    assert.equal(again?.fields.get('reason'), 'no connection: "late"');
    assert.equal(parseLogLine('time=now but no event'), null);
  });
});

describe('a request', () => {
  test('is explained by its own lines, in order of time, and by its refusal', () => {
    const explanation = explainRequest('abc', [...LOG].reverse());
    assert.deepEqual(
      explanation?.decisions.map(({ event }) => event),
      ['write_again', 'refused'],
    );
    assert.equal(explanation?.end?.fields.get('reason'), 'no leader');
  });

  test('is explained by the events of its own group and daemon around that time only', () => {
    assert.deepEqual(
      explainRequest('abc', LOG)?.surroundings.map(({ event, node }) => `${event} ${node}`),
      ['promotion_begins front-2', 'order front-1', 'store_lost front-1'],
    );
    assert.equal(explainRequest('abc', LOG, 0)?.surroundings.length, 2);
  });

  test('that occurs in no line has no explanation', () => {
    assert.equal(explainRequest('nobody', LOG), null);
  });
});
