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
const FIRST_FAULT_MS = 2_000;
const LAST_FAULT_MS = 8_000;
const MAX_FAULT_MS = 3_000;
const MAX_FAULTS = 4;
const MAX_LIST_DELAY_MS = 5_000;
const MAX_LOAD_FACTOR = 4;
const MAX_SLOW_FACTOR = 8;
const MAX_EXTRA_LATENCY_MS = 200;
const DIRECTIONS = ['both', 'inbound', 'outbound'] as const;

type FaultGenerator = (random: RandomSource, deployment: Deployment) => Fault;

function randomTiming(random: RandomSource): { atMs: number; forMs: number } {
  const atMs = FIRST_FAULT_MS + random.nextInt(LAST_FAULT_MS - FIRST_FAULT_MS);
  return { atMs, forMs: 50 + random.nextInt(MAX_FAULT_MS) };
}

function pick<Item>(random: RandomSource, items: readonly Item[]): Item {
  return items[random.nextInt(items.length)]!;
}

function randomTarget(random: RandomSource, deployment: Deployment): string {
  return pick(random, placeTargets(deployment)).nodeId;
}

const FAULT_GENERATORS: readonly FaultGenerator[] = [
  (random, deployment) => ({
    type: 'kill',
    target: randomTarget(random, deployment),
    ...randomTiming(random),
  }),
  (random, deployment) => ({
    type: 'freeze',
    target: randomTarget(random, deployment),
    ...randomTiming(random),
  }),
  (random, deployment) => ({
    type: 'cut',
    target: randomTarget(random, deployment),
    direction: pick(random, DIRECTIONS),
    ...randomTiming(random),
  }),
  (random, deployment) => ({
    type: 'slow-link',
    target: randomTarget(random, deployment),
    extraMs: 1 + random.nextInt(MAX_EXTRA_LATENCY_MS),
    ...randomTiming(random),
  }),
  (random, deployment) => ({
    type: 'slow-service',
    service: pick(random, deployment.services).name,
    factor: 2 + random.nextInt(MAX_SLOW_FACTOR),
    ...randomTiming(random),
  }),
  (random, deployment) => ({
    type: 'leave',
    target: randomTarget(random, deployment),
    atMs: randomTiming(random).atMs,
  }),
  (random, deployment) => ({
    type: 'cold-start',
    target: randomTarget(random, deployment),
    factor: 2 + random.nextInt(MAX_SLOW_FACTOR),
    ...randomTiming(random),
  }),
];

/** Generates the scenario of a seed. */
export function randomScenario(seed: number): Scenario {
  const random = new SeededRandom(seed);
  const name = pick(random, DEPLOYMENTS);
  const { deployment } = loadDeployment(name);
  const faults = Array.from({ length: 1 + random.nextInt(MAX_FAULTS) }, () =>
    pick(random, FAULT_GENERATORS)(random, deployment),
  );
  const surge = randomTiming(random);
  return scenarioSchema.parse({
    name: `random-${seed}`,
    deployment: name,
    durationMs: DURATION_MS,
    edges: 2,
    listDelayMs: random.nextInt(MAX_LIST_DELAY_MS),
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
