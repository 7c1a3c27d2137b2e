import { expect } from 'chai';
import { QuotaWorld, type QuotaRun } from '../../lab/simulator/quota/quota-world.js';
import { ResourceStore } from '../../src/control/resource-store.js';
import { CONTROL_ACTOR, NO_RESOURCE } from '../../src/control/commands.js';
import type { CeilingRecord } from '../../src/quota/ceiling-record.js';
import { GroupCeilings, type LeaderTerms } from '../../src/quota/group-ceilings.js';
import { DEFAULT_QUOTA_RULE } from '../../src/quota/quota-rule.js';

const { windowMs } = DEFAULT_QUOTA_RULE;
/** Exceeds the time for which grants of an earlier leader may count. */
const SETTLED_MS = 11_000;
const LIMIT = 100;
const TERMS: LeaderTerms = { term: 3, previousTerm: 2 };

const HARSH: Omit<QuotaRun, 'seed'> = {
  strategy: 'leases',
  ingresses: 17,
  groups: 8,
  durationMs: 20_000,
  rule: DEFAULT_QUOTA_RULE,
  faults: true,
  surges: [1, 1.7, 7.5, 20],
};
const CALM = { ...HARSH, ingresses: 71, groups: 30, faults: false, surges: [0.5] };

function worstRatio(run: QuotaRun): number {
  const { groups } = new QuotaWorld(run).execute();
  return Math.max(...groups.map(({ worstBoundRatio }) => worstBoundRatio));
}

function wronglyRefusedRatio(run: QuotaRun): number {
  const { groups } = new QuotaWorld(run).execute();
  const refused = groups.reduce((sum, { wronglyRefused }) => sum + wronglyRefused, 0);
  return refused / groups.reduce((sum, { offered }) => sum + offered, 0);
}

describe('the quota of a group after a loss of all power', function () {
  this.timeout(60_000);

  const run = { ...CALM, durationMs: 16_000, powerLossAtMs: 6_000 };
  /** Fraction of the run from the loss of power until a leader is elected. */
  const leaderlessRatio = 2.7 / 16;

  it('is granted at once to groups under half of their limits', () => {
    for (let seed = 1; seed <= 5; seed += 1) {
      expect(wronglyRefusedRatio({ ...run, seed }), `seed ${seed}`).to.be.at.most(leaderlessRatio);
    }
  });

  it('is granted only after a window where the record of ceilings is lost', () => {
    const withoutRecord = wronglyRefusedRatio({ ...run, seed: 1, losesRecord: true });
    expect(withoutRecord).to.be.above(leaderlessRatio + 0.1);
  });

  it('holds in every window when power is lost again before former grants have expired', () => {
    for (let seed = 1; seed <= 15; seed += 1) {
      const losses = { powerLossAtMs: 12_000, nextPowerLossAfterMs: 3_500 };
      expect(worstRatio({ ...HARSH, ...losses, seed }), `seed ${seed}`).to.be.at.most(1);
      const calm = { ...HARSH, ...losses, faults: false };
      expect(worstRatio({ ...calm, seed }), `seed ${seed}, calm`).to.be.at.most(1);
    }
  });

  // The last grants of a leader, to an ingress that was cut off or restarted then, were unknown to the next leader, which
  // granted them again: 1.061 of the bound in 5 of 240 seeds (86, 97, 144, 221, 230).
  it('holds when a leader has granted more to an ingress than its successor knows', () => {
    for (const seed of [86, 97, 144, 221, 230, 237]) {
      expect(worstRatio({ ...HARSH, seed }), `seed ${seed}`).to.be.at.most(1);
    }
    expect(worstRatio({ ...HARSH, seed: 57, powerLossAtMs: 6_000 })).to.be.at.most(1);
  });
});

describe('the ceilings of groups', () => {
  let record: CeilingRecord | undefined;
  let proposals: { record: CeilingRecord; onOutcome: (isApplied: boolean) => void }[];
  let ceilings: GroupCeilings;
  let now: number;

  beforeEach(() => {
    record = undefined;
    proposals = [];
    now = 0;
    ceilings = new GroupCeilings(windowMs, {
      record: () => record,
      propose: (proposed, onOutcome) => proposals.push({ record: proposed, onOutcome }),
    });
  });

  /** Processes a report by which a group needs and has committed a number of requests. */
  function report(offered: number, terms: LeaderTerms | undefined = TERMS): number {
    const totals = {
      offered,
      projected: offered,
      active: 1,
      committed: offered,
      committedToFresh: 0,
    };
    ceilings.onLeadership(terms, false, now);
    const allowed = ceilings.onDemand('tenant', totals, LIMIT, now);
    ceilings.onCommitted('tenant', totals, LIMIT, now);
    ceilings.review(now);
    return allowed;
  }

  function applyProposal(): void {
    const { record: proposed, onOutcome } = proposals.at(-1)!;
    record = proposed;
    onOutcome(true);
  }

  /** Lets a leader write its first record, while the group is under its lowest ceiling. */
  function settle(): void {
    report(10);
    now += SETTLED_MS;
    report(10);
    applyProposal();
  }

  it('are recorded only when grants of earlier leaders have expired', () => {
    expect(report(90)).to.equal(1);
    now += SETTLED_MS - windowMs;
    report(10);
    expect(proposals).to.deep.equal([]);
    now += SETTLED_MS;
    report(10);
    expect(proposals.map((proposal) => proposal.record)).to.deep.equal([{ term: 3, raised: [] }]);
  });

  it('are raised once the raise is applied', () => {
    settle();
    now += 100;
    expect(report(90)).to.equal(0.5);
    expect(report(90)).to.equal(0.5);
    expect(proposals.at(-1)!.record.raised).to.deep.equal([{ group: 'tenant', ceiling: 1 }]);
    applyProposal();
    expect(report(90)).to.equal(1);
  });

  it('are reduced from when the reduction is proposed, after commitments have kept it', () => {
    settle();
    now += 100;
    report(90);
    applyProposal();
    for (let waitedMs = 0; waitedMs < SETTLED_MS - 1_000; waitedMs += 500) {
      now += 500;
      report(10);
    }
    expect(proposals).to.have.length(2);
    now += 2_500;
    report(10);
    expect(proposals.at(-1)!.record.raised).to.deep.equal([]);
    expect(report(90), 'while the reduction is in flight').to.equal(0.5);
  });

  it('tell a new leader what its predecessor may have committed', () => {
    record = { term: 2, raised: [{ group: 'hot', ceiling: 0.75 }] };
    report(10);
    expect(ceilings.inheritedOf('hot')).to.equal(0.75);
    expect(ceilings.inheritedOf('tenant')).to.equal(0.5);
  });

  it('tell nothing when another leader led since the record', () => {
    record = { term: 1, raised: [] };
    report(10);
    expect(ceilings.inheritedOf('tenant')).to.equal(1);
  });

  it('are kept in snapshots, and change no revision', () => {
    const store = new ResourceStore();
    const quotaCeilings = { term: 3, raised: [{ group: 'tenant', ceiling: 1 }] };
    const change = { changeId: 'c-1', actor: CONTROL_ACTOR, at: 0, precondition: 'any' } as const;
    store.apply({ type: 'delete', target: NO_RESOURCE, ...change, quotaCeilings });
    const restored = new ResourceStore();
    restored.restore(store.snapshot());
    expect(restored.quotaCeilings).to.deep.equal(quotaCeilings);
    expect(restored.revision).to.equal(0);
  });

  it('are without effect for a replica that knows no ceilings', () => {
    const store = new ResourceStore();
    const change = { changeId: 'c-1', actor: CONTROL_ACTOR, at: 0, precondition: 'any' } as const;
    const result = store.apply({ type: 'delete', target: NO_RESOURCE, ...change });
    expect(result).to.deep.equal({ type: 'not-found' });
    expect(store.revision).to.equal(0);
  });
});
