/**
 * Schema of a scenario file: a deployment, its load over time, faults, and mechanisms that are switched off. The same
 * file runs in the simulator and with real processes. docs/reference/lab-files.md describes each field.
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
  /** Factor applied to the normal rate. */
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
  /** Kills the machine's processes; they restart without state after `forMs`. */
  z.strictObject({ type: z.literal('kill'), ...targetFault, forMs: duration }),
  /** Pauses the machine's processes for `forMs`. */
  z.strictObject({ type: z.literal('freeze'), ...targetFault, forMs: duration }),
  /** Drops the machine's messages silently. */
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
  /** Planned stop of the target's node; it does not return. */
  z.strictObject({ type: z.literal('leave'), ...targetFault }),
  /** The target's work is slower at first; `factor` falls to 1 over `forMs`. */
  z.strictObject({
    type: z.literal('cold-start'),
    ...targetFault,
    factor: z.number().min(1).max(1_000),
    forMs: duration,
  }),
]);

/** Expectations of this scenario, in addition to the promises that always hold. */
const expectSchema = z.strictObject({
  /** The critical kinds alone fit into the remaining capacity, so hardly any of their requests may be lost. */
  protectedFits: z.boolean().default(false),
  /** Goodput recovers within two seconds of the end of the last disturbance. */
  recovers: z.boolean().default(false),
});

/** Schema of a scenario file. */
export const scenarioSchema = z.strictObject({
  name: nameSchema,
  /** Name of a built-in deployment, or path of a deployment file. */
  deployment: z.string().min(1),
  durationMs: duration,
  /** Requests before this time are not counted. */
  warmupMs: time.default(0),
  edges: z.number().int().min(1).max(100).default(2),
  /** Delay until a change of the platform's endpoint list has reached every process, in milliseconds. */
  listDelayMs: time.default(1_000),
  load: z.array(loadPhaseSchema).default([]),
  callers: callersSchema.default(callersSchema.parse({})),
  faults: z.array(faultSchema).default([]),
  expect: expectSchema.default(expectSchema.parse({})),
  mechanisms: mechanismsSchema.default(mechanismsSchema.parse({})),
});

export type Scenario = z.infer<typeof scenarioSchema>;
export type Fault = Scenario['faults'][number];

/** Reads a scenario file. @throws ValidationError listing all invalid fields */
export function loadScenario(file: string): Scenario {
  return parseOrThrow(scenarioSchema, readYamlFile(file), file);
}

/** Returns the time in milliseconds at which the last fault or load change ends; 0 when there is none. */
export function lastDisturbanceEnd(scenario: Scenario): number {
  const ends = [
    ...scenario.faults.map((fault) => fault.atMs + ('forMs' in fault ? fault.forMs : 0)),
    ...scenario.load.filter((phase) => phase.factor !== 1).map((phase) => phase.toMs),
  ];
  return Math.max(0, ...ends);
}

/** Returns the time in milliseconds at which the first fault or load change begins; the duration when there is none. */
export function firstDisturbance(scenario: Scenario): number {
  const starts = [
    ...scenario.faults.map((fault) => fault.atMs),
    ...scenario.load.filter((phase) => phase.factor !== 1).map((phase) => phase.fromMs),
  ];
  return Math.min(scenario.durationMs, ...starts);
}
