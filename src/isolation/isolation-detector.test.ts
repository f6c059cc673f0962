/**
 * Guards against clients that stay with a daemon which is cut off, and against daemons that are not cut off and
 * send their clients away.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { IsolationDetector, type IsolationObservation, type IsolationState } from './isolation-detector.js';

const TICK_MS = 50;
const CUT_MS = 10_000;

/** A detector with a clock; bytes arrive on every tick until told otherwise. */
class Scene {
  nowMs = CUT_MS - 1000;
  lastReceivedMs = this.nowMs;
  isReceiving = true;
  isWaiting = true;
  hasOutsideDaemons = true;
  hasMostEvidence = true;
  readonly detector = new IsolationDetector();

  /** Updates every 50 ms until a time; returns the state. */
  runUntil(untilMs: number): IsolationState {
    while (this.nowMs < untilMs) this.tick();
    return this.detector.state;
  }

  tick(stepMs = TICK_MS): IsolationState {
    this.nowMs += stepMs;
    if (this.isReceiving) this.lastReceivedMs = this.nowMs;
    return this.detector.update(this.#observation());
  }

  /** Runs up to the cut, after which no bytes arrive. */
  cut(): void {
    this.runUntil(CUT_MS);
    this.isReceiving = false;
  }

  #observation(): IsolationObservation {
    const { nowMs, lastReceivedMs, hasOutsideDaemons, hasMostEvidence } = this;
    const silentSinceMs = this.isWaiting ? lastReceivedMs : null;
    return { nowMs, lastReceivedMs, silentSinceMs, hasOutsideDaemons, hasMostEvidence };
  }
}

describe('a daemon that awaits answers and receives nothing', () => {
  test('becomes suspicious after 350 ms and isolated 350 ms later', () => {
    const scene = new Scene();
    scene.cut();
    assert.equal(scene.runUntil(CUT_MS + 300), 'connected');
    assert.equal(scene.runUntil(CUT_MS + 350), 'suspicious');
    assert.equal(scene.runUntil(CUT_MS + 650), 'suspicious');
    assert.equal(scene.runUntil(CUT_MS + 700), 'isolated');
    assert.equal(scene.detector.silentSinceMs, CUT_MS);
  });

  test('is connected again when a byte arrives before the isolation', () => {
    const scene = new Scene();
    scene.cut();
    scene.runUntil(CUT_MS + 600);
    scene.lastReceivedMs = scene.nowMs;
    assert.equal(scene.tick(), 'connected');
    assert.equal(scene.runUntil(CUT_MS + 900), 'connected', 'the silence is counted from that byte');
  });

  test('is never isolated while nothing is awaited, or without daemons in other zones', () => {
    for (const field of ['isWaiting', 'hasOutsideDaemons'] as const) {
      const scene = new Scene();
      scene.cut();
      scene[field] = false;
      assert.equal(scene.runUntil(CUT_MS + 5000), 'connected', field);
    }
  });
});

describe('a process that was paused', () => {
  test('draws no conclusion from the silence of the pause', () => {
    const scene = new Scene();
    scene.cut();
    assert.equal(scene.tick(3000), 'connected');
    assert.equal(scene.runUntil(CUT_MS + 3300), 'connected');
    assert.equal(scene.runUntil(CUT_MS + 3350), 'suspicious', 'silence counts from the end of the pause');
  });

  test('starts over when it was paused while suspicious', () => {
    const scene = new Scene();
    scene.cut();
    assert.equal(scene.runUntil(CUT_MS + 400), 'suspicious');
    assert.equal(scene.tick(1000), 'connected');
  });
});

describe('an isolated daemon', () => {
  function isolatedScene(): Scene {
    const scene = new Scene();
    scene.cut();
    assert.equal(scene.runUntil(CUT_MS + 2000), 'isolated');
    return scene;
  }

  test('recovers once bytes have arrived for 500 ms', () => {
    const scene = isolatedScene();
    scene.isReceiving = true;
    assert.equal(scene.runUntil(CUT_MS + 2500), 'isolated');
    assert.equal(scene.runUntil(CUT_MS + 2550), 'connected');
  });

  test('stays isolated when the bytes stop again', () => {
    const scene = isolatedScene();
    scene.isReceiving = true;
    scene.runUntil(CUT_MS + 2100);
    scene.isReceiving = false;
    assert.equal(scene.runUntil(CUT_MS + 6000), 'isolated');
  });

  test('recovers although its process is paused repeatedly', () => {
    const scene = isolatedScene();
    scene.isReceiving = true;
    const states = Array.from({ length: 4 }, () => scene.tick(250));
    assert.deepEqual(states, ['isolated', 'isolated', 'connected', 'connected']);
  });

  test('does not recover because of bytes before and after a long pause', () => {
    const scene = isolatedScene();
    scene.isReceiving = true;
    scene.tick();
    assert.equal(scene.tick(5000), 'isolated');
  });

  test('waits for evidence of most leaders, but only for a limited time', () => {
    const scene = isolatedScene();
    scene.isReceiving = true;
    scene.hasMostEvidence = false;
    assert.equal(scene.runUntil(CUT_MS + 5000), 'isolated');
    assert.equal(scene.runUntil(CUT_MS + 5050), 'connected');
    const other = isolatedScene();
    other.isReceiving = true;
    other.hasMostEvidence = false;
    other.runUntil(CUT_MS + 3000);
    other.hasMostEvidence = true;
    assert.equal(other.tick(), 'connected');
  });

  test('recovers when no daemon is left in other zones', () => {
    const scene = isolatedScene();
    scene.hasOutsideDaemons = false;
    assert.equal(scene.tick(), 'connected');
  });
});
