/**
 * A scenario: a deployment, its load over time, faults with times and targets, and switches. The
 * same file runs on processes and in the simulator. docs/reference/lab-files.md describes each field.
 */
import { z } from 'zod';
import { parseOrThrow } from '../../src/common/validate.js';
import { nameSchema } from '../../src/policy/resource-schema.js';
import { readYamlFile } from '../../src/settings/load-settings.js';
import { AGGRESSIVE_RETRIES } from '../model/caller-model.js';
import { mechanismsSchema } from '../simulator/mechanisms.js';

const MAX_DURATION_MS = 3_600_000;
const time = z.number().min(0).max(MAX_DURATION_MS);
const duration = z.number().positive('must be greater than 0').max(MAX_DURATION_MS);

const loadPhaseSchema = z.strictObject({
  fromMs: time,
  toMs: time,
  /** Multiplies the usual rate. */
  factor: z.number().min(0).max(1_000),
  /** Only these groups; all when absent. */
  groups: z.array(nameSchema).optional(),
  /** Only these kinds; all when absent. */
  kinds: z.array(nameSchema).optional(),
});

const callersSchema = z.strictObject({
  patienceMs: duration.default(AGGRESSIVE_RETRIES.patienceMs),
  maxAttempts: z.number().int().min(1).max(100).default(AGGRESSIVE_RETRIES.maxAttempts),
  retryPauseMs: duration.default(AGGRESSIVE_RETRIES.retryPauseMs),
  honourRetryAfter: z.number().min(0).max(1).default(AGGRESSIVE_RETRIES.honourRetryAfter),
  hangUp: z.number().min(0).max(1).default(AGGRESSIVE_RETRIES.hangUp),
});

const slowServiceSchema = z.strictObject({
  type: z.literal('slow-service'),
  service: nameSchema,
  factor: z.number().positive().max(1_000),
  atMs: time,
  forMs: duration,
});

const targetFault = {
  /** Node id, such as `buchwerk-1`. */
  target: nameSchema,
  atMs: time,
};

const faultSchema = z.discriminatedUnion('type', [
  slowServiceSchema,
  /** Ends the machine's processes at once; they start again, empty, after `forMs`. */
  z.strictObject({ type: z.literal('kill'), ...targetFault, forMs: duration }),
  /** Stops the machine's processes and lets them go on after `forMs`. */
  z.strictObject({ type: z.literal('freeze'), ...targetFault, forMs: duration }),
  /** Loses the machine's messages silently. */
  z.strictObject({
    type: z.literal('cut'),
    ...targetFault,
    forMs: duration,
    direction: z.enum(['both', 'inbound', 'outbound']).default('both'),
  }),
  /** Delays the machine's messages. */
  z.strictObject({
    type: z.literal('slow-link'),
    ...targetFault,
    forMs: duration,
    extraMs: duration,
  }),
  /** The target leaves for good: a planned stop of its node. */
  z.strictObject({ type: z.literal('leave'), ...targetFault }),
  /** The target's work takes longer at first. */
  z.strictObject({
    type: z.literal('cold-start'),
    ...targetFault,
    factor: z.number().min(1).max(1_000),
    forMs: duration,
  }),
]);

/** What is to hold besides the promises that hold always. */
const expectSchema = z.strictObject({
  /** The critical kinds alone fit into what is left, so they are refused at most rarely. */
  protectedFits: z.boolean().default(false),
  /** Goodput returns within two seconds of the last disturbance. */
  recovers: z.boolean().default(false),
});

/** Schema of a scenario file. */
export const scenarioSchema = z.strictObject({
  name: nameSchema,
  /** Built-in deployment or a deployment file. */
  deployment: z.string().min(1),
  durationMs: duration,
  /** Requests before this time are not counted. */
  warmupMs: time.default(0),
  edges: z.number().int().min(1).max(100).default(2),
  /** Time until a change of the platform's list has reached every process. */
  listDelayMs: time.default(1_000),
  load: z.array(loadPhaseSchema).default([]),
  callers: callersSchema.default(callersSchema.parse({})),
  faults: z.array(faultSchema).default([]),
  expect: expectSchema.default(expectSchema.parse({})),
  mechanisms: mechanismsSchema.default(mechanismsSchema.parse({})),
});

export type Scenario = z.infer<typeof scenarioSchema>;
export type Fault = Scenario['faults'][number];

/** Reads a scenario file. @throws ValidationError naming every fault */
export function loadScenario(file: string): Scenario {
  return parseOrThrow(scenarioSchema, readYamlFile(file), file);
}

/** The time at which the last fault or load phase has ended. */
export function lastDisturbanceEnd(scenario: Scenario): number {
  const ends = [
    ...scenario.faults.map((fault) => fault.atMs + ('forMs' in fault ? fault.forMs : 0)),
    ...scenario.load.filter((phase) => phase.factor !== 1).map((phase) => phase.toMs),
  ];
  return Math.max(0, ...ends);
}

/** The time at which the first fault or load phase begins; the end when there is none. */
export function firstDisturbance(scenario: Scenario): number {
  const starts = [
    ...scenario.faults.map((fault) => fault.atMs),
    ...scenario.load.filter((phase) => phase.factor !== 1).map((phase) => phase.fromMs),
  ];
  return Math.min(scenario.durationMs, ...starts);
}
