/**
 * Simulates the nodes of one service that claim keys, under crashes, network cuts, freezes, planned stops
 * and changes of the claim view. Counts how often the call of each key ran.
 */
import { SeededRandom } from '../../../src/common/random.js';
import { VirtualClock } from '../../../src/common/virtual-clock.js';
import { nextClaimView } from '../../../src/control/claim-view-planner.js';
import type { ClaimView } from '../../../src/dedup/claim-view.js';
import { SimNetwork } from '../sim-network.js';
import { ClaimNode } from './claim-node.js';

export interface ClaimRun {
  readonly seed: number;
  readonly nodes: number;
  readonly durationMs: number;
  /** Lab only: whether replicas assume that they know every claim, also after a restart. */
  readonly assumeComplete: boolean;
}

export interface ClaimRunResult {
  readonly seed: number;
  /** Keys whose call ran more than once. */
  readonly violations: readonly string[];
  /** Keys whose call ran. */
  readonly ran: number;
  readonly decisions: ReadonlyMap<string, number>;
}

const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const SERVICE = 'ledger';
const STEP_MS = 20;
const VIEW_STEPS = 25;
const VIEW_DELAY_MS = 300;
const CALLS_PER_STEP = 2;
/** Number of recent keys from which a resend chooses. */
const RECENT_KEYS = 6;
const RESEND_CHANCE = 0.7;
const FAULT_CHANCE_PER_STEP = 0.03;
const MAX_FAULT_MS = 3_000;
/** Maximum number of nodes with a fault at the same time. */
const MAX_FAULTY_NODES = 2;
const ZONE_LATENCY_MS = 1;
/** Multiplies the time without contact, so that views change more often than in the product. */
const SILENCE_FACTOR = 30;

export class ClaimWorld {
  readonly clock = new VirtualClock();
  readonly random: SeededRandom;
  readonly network: SimNetwork;
  private readonly nodes: ClaimNode[];
  private view: ClaimView | undefined;
  private readonly lastSeenAt = new Map<string, number>();
  private readonly runCounts = new Map<string, number>();
  private readonly decisionCounts = new Map<string, number>();
  private readonly recentKeys: string[] = [];
  private keyCount = 0;

  constructor(private readonly run: ClaimRun) {
    this.random = new SeededRandom(run.seed);
    this.network = new SimNetwork({
      clock: this.clock,
      random: this.random,
      zoneLatencyMs: ZONE_LATENCY_MS,
    });
    this.nodes = Array.from({ length: run.nodes }, (_, index) => {
      const zone = ZONES[index % ZONES.length]!;
      return new ClaimNode(`${SERVICE}-${index + 1}`, zone, this, run.assumeComplete);
    });
  }

  claimReplicaHost(id: string): ClaimNode {
    return this.nodes.find((node) => node.id === id)!;
  }

  execute(): ClaimRunResult {
    for (let step = 0; this.clock.now() < this.run.durationMs; step += 1) {
      if (step % VIEW_STEPS === 0) this.planView();
      for (let call = 0; call < CALLS_PER_STEP; call += 1) this.sendCall();
      if (this.random.next() < FAULT_CHANCE_PER_STEP) this.injectFault();
      this.clock.advance(STEP_MS);
    }
    const violations = [...this.runCounts]
      .filter(([, count]) => count > 1)
      .map(([key, count]) => `${key} ran ${count} times`);
    const { seed } = this.run;
    return { seed, violations, ran: this.runCounts.size, decisions: this.decisionCounts };
  }

  private sendCall(): void {
    const key = this.nextKey();
    const live = this.nodes.filter((node) => node.machine.isAlive);
    const node = live[this.random.nextInt(live.length)];
    node?.machine.runOrDefer(() => {
      node.call(key, (decision) => {
        this.decisionCounts.set(decision, (this.decisionCounts.get(decision) ?? 0) + 1);
        if (decision === 'granted') this.runCounts.set(key, (this.runCounts.get(key) ?? 0) + 1);
      });
    });
  }

  private nextKey(): string {
    if (this.recentKeys.length > 0 && this.random.next() < RESEND_CHANCE) {
      return this.recentKeys[this.random.nextInt(this.recentKeys.length)]!;
    }
    this.keyCount += 1;
    const key = `key-${this.keyCount}`;
    this.recentKeys.push(key);
    if (this.recentKeys.length > RECENT_KEYS) {
      // Evicts a random key, so that some old keys are resent much later.
      this.recentKeys.splice(this.random.nextInt(RECENT_KEYS), 1);
    }
    return key;
  }

  private injectFault(): void {
    const healthy = this.nodes.filter((node) => !node.isFaulty);
    if (this.nodes.length - healthy.length >= MAX_FAULTY_NODES) return;
    const node = healthy[this.random.nextInt(healthy.length)]!;
    const kind = this.random.nextInt(4);
    if (kind === 0) node.crash();
    else if (kind === 1) node.stop();
    else if (kind === 2) node.machine.freeze();
    else node.machine.cutDirection = 'both';
    this.clock.schedule(this.random.next() * MAX_FAULT_MS, () => this.recover(node));
  }

  private recover(node: ClaimNode): void {
    node.machine.cutDirection = undefined;
    if (node.machine.isFrozen) node.machine.thaw();
    if (!node.machine.isAlive) node.restart(this.view);
  }

  /** Plans the claim view, as control does, and sends it to the nodes after a random delay. */
  private planView(): void {
    const now = this.clock.now();
    const reachable = this.nodes.filter((node) => !node.isFaulty);
    for (const node of reachable) this.lastSeenAt.set(node.id, now);
    const next = nextClaimView({
      service: SERVICE,
      current: this.view,
      candidates: reachable.map((node) => node.candidate()),
      sinceHeartbeatMs: (id) => (now - (this.lastSeenAt.get(id) ?? now)) * SILENCE_FACTOR,
    });
    if (next === undefined) return;
    this.view = next;
    for (const node of this.nodes) {
      const delayMs = now === 0 ? 0 : this.random.next() * VIEW_DELAY_MS;
      this.clock.schedule(delayMs, () => {
        // A node that is cut off misses this view and receives a later one.
        if (node.machine.cutDirection === undefined)
          node.machine.runOrDefer(() => node.claimReplica.setView(next));
      });
    }
  }
}
