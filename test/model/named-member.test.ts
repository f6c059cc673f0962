/**
 * Examines what the holder of the duty can do about a member that restarts empty between the call that names
 * it and the action of the platform. This is the failure listed in KNOWN-RED.txt as *is with the member that
 * leads though every member that is named starts again*.
 *
 * If the platform matches the member by its id only, no sequence of moves that includes a call prevents an
 * empty member from leading. Making no call prevents it, but leaves the group without a leader. If the
 * platform matches the incarnation named in the call, the search finds a strategy.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { describeMove, NamedMemberSearch, type PlatformModel } from './named-member.js';

/** Moves of the holder: two calls, and an observation between them. */
const MAX_MOVES = 3;
const BOOLEANS: readonly boolean[] = [false, true];

const PLATFORM_MODELS: readonly PlatformModel[] = BOOLEANS.flatMap((matchesIdOnly) =>
  BOOLEANS.flatMap((promotesFenced) =>
    BOOLEANS.flatMap((dropsCallsToStopped) =>
      BOOLEANS.map((rollsBackPausedReplicas) => ({
        matchesIdOnly,
        promotesFenced,
        dropsCallsToStopped,
        rollsBackPausedReplicas,
      })),
    ),
  ),
);

function describePlatform(platform: PlatformModel): string {
  const parts = [
    platform.matchesIdOnly ? 'by id' : 'by incarnation',
    platform.promotesFenced ? 'promotes paused and demoted members' : 'does not promote them',
    platform.dropsCallsToStopped ? 'drops calls for members that are not running' : 'keeps them',
    platform.rollsBackPausedReplicas ? 'rolls back paused replicas' : 'does not roll them back',
  ];
  return parts.join(', ');
}

for (const platform of PLATFORM_MODELS) {
  test(`no empty member leads if the platform acts ${describePlatform(platform)}`, (context) => {
    const search = new NamedMemberSearch(platform, MAX_MOVES);
    const best = search.best();
    const called = search.bestStartingWithCall();
    const moves = called.moves.map(describeMove).join(', ');
    context.diagnostic(
      `best ${best.verdict}, with a call ${called.verdict} (${moves}), ${search.positions} positions`,
    );
    if (!platform.matchesIdOnly) return void assert.equal(called.verdict === 'empty_led', false);
    assert.notEqual(called.verdict, 'led');
    assert.notEqual(best.verdict, 'led');
  });
}

for (const platform of PLATFORM_MODELS.filter(({ promotesFenced }) => promotesFenced)) {
  test(`the member that does not restart is named if the platform acts ${describePlatform(platform)}`, () => {
    const { verdict, moves } = new NamedMemberSearch(platform, MAX_MOVES, ['a']).bestStartingWithCall();
    assert.equal(verdict, 'led');
    assert.equal(moves.map(describeMove)[0], 'call b');
  });
}
