/**
 * Generates a random scenario from a seed: one load surge and a few faults, which may overlap or hit the same target.
 * The result depends only on the seed and the built-in deployments.
 */
import { SeededRandom, type RandomSource } from '../../src/common/random.js';
import { loadDeployment } from '../model/load-deployment.js';
import { placeTargets, type Deployment } from '../model/deployment.js';
import { scenarioSchema, type Fault, type Scenario } from '../experiment/scenario.js';

const DEPLOYMENTS = ['ratenwerk', 'hanoi'] as const;
const DURATION_MS = 14_000;
const FAULTS_FROM_MS = 2_000;
const FAULTS_TO_MS = 8_000;
const MAX_FAULT_MS = 3_000;
const MAX_FAULTS = 4;
const MAX_LIST_DELAY_MS = 5_000;
const MAX_LOAD_FACTOR = 4;
const MAX_SLOWNESS = 8;
const MAX_EXTRA_LATENCY_MS = 200;
const DIRECTIONS = ['both', 'inbound', 'outbound'] as const;

type FaultMaker = (random: RandomSource, deployment: Deployment) => Fault;

function timing(random: RandomSource): { atMs: number; forMs: number } {
  const atMs = FAULTS_FROM_MS + random.below(FAULTS_TO_MS - FAULTS_FROM_MS);
  return { atMs, forMs: 50 + random.below(MAX_FAULT_MS) };
}

function pick<Item>(random: RandomSource, items: readonly Item[]): Item {
  return items[random.below(items.length)]!;
}

function anyTarget(random: RandomSource, deployment: Deployment): string {
  return pick(random, placeTargets(deployment)).nodeId;
}

const FAULT_MAKERS: readonly FaultMaker[] = [
  (random, deployment) => ({
    type: 'kill',
    target: anyTarget(random, deployment),
    ...timing(random),
  }),
  (random, deployment) => ({
    type: 'freeze',
    target: anyTarget(random, deployment),
    ...timing(random),
  }),
  (random, deployment) => ({
    type: 'cut',
    target: anyTarget(random, deployment),
    direction: pick(random, DIRECTIONS),
    ...timing(random),
  }),
  (random, deployment) => ({
    type: 'slow-link',
    target: anyTarget(random, deployment),
    extraMs: 1 + random.below(MAX_EXTRA_LATENCY_MS),
    ...timing(random),
  }),
  (random, deployment) => ({
    type: 'slow-service',
    service: pick(random, deployment.services).name,
    factor: 2 + random.below(MAX_SLOWNESS),
    ...timing(random),
  }),
  (random, deployment) => ({
    type: 'leave',
    target: anyTarget(random, deployment),
    atMs: timing(random).atMs,
  }),
  (random, deployment) => ({
    type: 'cold-start',
    target: anyTarget(random, deployment),
    factor: 2 + random.below(MAX_SLOWNESS),
    ...timing(random),
  }),
];

/** Generates the scenario of a seed. */
export function randomScenario(seed: number): Scenario {
  const random = new SeededRandom(seed);
  const name = pick(random, DEPLOYMENTS);
  const { deployment } = loadDeployment(name);
  const faults = Array.from({ length: 1 + random.below(MAX_FAULTS) }, () =>
    pick(random, FAULT_MAKERS)(random, deployment),
  );
  const surge = timing(random);
  return scenarioSchema.parse({
    name: `random-${seed}`,
    deployment: name,
    durationMs: DURATION_MS,
    edges: 2,
    listDelayMs: random.below(MAX_LIST_DELAY_MS),
    load: [
      {
        fromMs: surge.atMs,
        toMs: surge.atMs + surge.forMs,
        factor: 1 + random.next() * (MAX_LOAD_FACTOR - 1),
      },
    ],
    callers: { maxAttempts: 4, honourRetryAfter: random.next(), hangUp: 0.02 },
    faults,
  });
}
