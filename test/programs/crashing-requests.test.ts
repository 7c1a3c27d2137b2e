/**
 * Guards against a request that crashes one target after the other because it is retried or sent again through other
 * sidecars, none of which remembers its earlier crashes.
 */
import { expect } from 'chai';
import { CrashingTargets, pause } from '../support/crashing-targets.js';
import { until } from '../support/processes.js';

const FRONTS = 6;
const BACKS = 4;
/** Maximum time until all processes know of the quarantine, in milliseconds. */
const PROPAGATION_MS = 3_000;
/** Maximum number of runs after that time. */
const MAX_LATE_RUNS = 3;
const GAP_MS = 300;
const SENDING_MS = 7_500;
/** Time from the third crash until all targets are ready again, in milliseconds. */
const SETTLED_MS = PROPAGATION_MS + 1_000;
const HARMLESS_GAP_MS = 40;
const STATUS_OK = 200;

interface SentRequest {
  readonly at: number;
  readonly status: number;
}

describe('a request that crashes the targets that run it', function () {
  this.timeout(60_000);
  let targets: CrashingTargets;

  afterEach(() => targets.end());

  /** Sends `path` repeatedly to the machines in turn, along with harmless requests. */
  async function sendRepeatedly(
    path: string,
    body: string | undefined,
    harmlessPaths: readonly string[],
    machines = FRONTS,
  ) {
    const endAt = performance.now() + SENDING_MS;
    const sent: SentRequest[] = [];
    const crashing: Promise<number>[] = [];
    let next = 0;
    const ask = (harmlessPath: string): void => {
      const at = performance.now();
      const request = { path: harmlessPath, body: 'harmless', machine: (next += 1) % FRONTS };
      void targets.ask(request).then((status) => sent.push({ at, status }));
    };
    const timer = setInterval(() => {
      for (const each of harmlessPaths) ask(each);
    }, HARMLESS_GAP_MS);
    for (let turn = 0; performance.now() < endAt; turn += 1) {
      const request = { path, machine: (turn * 5) % machines };
      crashing.push(targets.ask(body === undefined ? request : { ...request, body }));
      await pause(GAP_MS);
    }
    clearInterval(timer);
    const statuses = await Promise.all(crashing);
    await pause(2 * GAP_MS);
    return { sent, statuses };
  }

  function successRatio(sent: readonly SentRequest[], from: number): number {
    const counted = sent.filter(({ at }) => at >= from);
    return counted.filter(({ status }) => status === STATUS_OK).length / counted.length;
  }

  function expectBounded(path: string, body = ''): void {
    expect(targets.crashedAt.length).to.be.at.least(3);
    const late = targets.runsAfterThirdCrash(path, body, PROPAGATION_MS);
    expect(late.length, 'runs long after the third crash').to.be.at.most(MAX_LATE_RUNS);
  }

  function crashesOf(path: string, body = '') {
    return (run: { path: string; body: string }): boolean => run.path === path && run.body === body;
  }

  it('is kept from targets soon after it has crashed three, but not others of its path', async () => {
    for (const [path, body] of [
      ['/front/bad', undefined],
      ['/once/bad', 'deadly'],
    ] as const) {
      const crashes = crashesOf(path, body);
      targets = await CrashingTargets.start({ fronts: FRONTS, backs: 0, crashes });
      const { sent, statuses } = await sendRepeatedly(path, body, ['/front/good', path]);
      expectBounded(path, body);
      expect(statuses.at(-1)).to.equal(503);
      expect(successRatio(sent, targets.crashedAt[2]! + SETTLED_MS)).to.equal(1);
      await targets.end();
    }
  });

  it('is kept from the targets of a called service, and its caller from no blame', async () => {
    const crashes = crashesOf('/back/bad');
    const callOf = (path: string): string | undefined =>
      path === '/front/bad' ? '/back/bad' : path === '/front/good' ? '/back/good' : undefined;
    targets = await CrashingTargets.start({ fronts: FRONTS, backs: BACKS, crashes, callOf });
    const { sent, statuses } = await sendRepeatedly('/front/bad', undefined, ['/front/good']);
    expectBounded('/back/bad');
    expect(statuses.at(-1)).to.equal(500);
    expect(successRatio(sent, targets.crashedAt[2]! + SETTLED_MS)).to.equal(1);
  });

  it('is kept from targets, whichever services are on the machines that it comes by', async () => {
    const crashes = crashesOf('/front/bad');
    targets = await CrashingTargets.start({ fronts: FRONTS, backs: BACKS, crashes });
    const { sent } = await sendRepeatedly(
      '/front/bad',
      undefined,
      ['/front/good'],
      FRONTS + BACKS - 1,
    );
    expectBounded('/front/bad');
    expect(targets.crashedAt.length).to.be.at.most(6);
    expect(successRatio(sent, targets.crashedAt[2]! + SETTLED_MS)).to.equal(1);
  });

  it('is still kept from targets by a control and a sidecar that have been restarted', async () => {
    const crashes = crashesOf('/front/bad');
    targets = await CrashingTargets.start({ fronts: 3, backs: 0, crashes });
    const bad = { path: '/front/bad', machine: 0 };
    await until(async () => (await targets.ask(bad)) === 503 && targets.crashedAt.length >= 3);
    await pause(PROPAGATION_MS);
    const runs = targets.runs.filter(({ path }) => path === bad.path).length;
    await targets.restartSidecar(0, () => targets.restartControl());
    await until(() => targets.isReady(0));
    expect(await targets.ask(bad)).to.equal(503);
    expect(targets.runs.filter(({ path }) => path === bad.path).length).to.equal(runs);
    await until(async () => (await targets.ask({ path: '/front/good', machine: 0 })) === STATUS_OK);
  });

  it('is not one that is merely under way whenever targets crash by themselves', async () => {
    targets = await CrashingTargets.start({ fronts: FRONTS, backs: 0, crashes: () => false });
    const crash = async (): Promise<void> => {
      for (let each = 0; each < FRONTS; each += 1) {
        await pause(2 * GAP_MS);
        targets.crash(each);
      }
    };
    const [{ sent }] = await Promise.all([
      sendRepeatedly('/front/popular', undefined, ['/front/popular', '/front/popular']),
      crash(),
    ]);
    const calmFrom = performance.now() - 2_000;
    expect(successRatio(sent, calmFrom)).to.equal(1);
    expect(successRatio(sent, 0)).to.be.at.least(0.9);
  });
});
