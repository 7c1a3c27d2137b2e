/**
 * Schema of a lab deployment (`lab/deployments/*.yaml`): zones and latencies, services with their targets and
 * handlers, and the callers' normal demand. docs/reference/lab-files.md describes each field.
 */
import { z } from 'zod';
import { nameSchema } from '../../src/policy/resource-schema.js';

const positive = z.number().positive('must be greater than 0');
const milliseconds = z.number().min(0).max(600_000);
const methodSchema = z.enum(['GET', 'POST', 'PUT', 'DELETE']);

const nestedCallSchema = z.strictObject({
  service: nameSchema,
  method: methodSchema,
  path: z.string().startsWith('/'),
});

const handlerSchema = z.strictObject({
  method: methodSchema,
  /** Path prefix that this handler serves. */
  path: z.string().startsWith('/'),
  /** Mean time of the handler's own work without nested calls, in milliseconds. */
  workMs: positive,
  /** Calls to other services, made sequentially while the slot is occupied. */
  calls: z.array(nestedCallSchema).default([]),
  responseBytes: z.number().int().min(0).max(16_777_216).default(200),
});

const serviceSchema = z.strictObject({
  name: nameSchema,
  targets: z.number().int().min(1).max(1_000),
  slots: z.number().int().min(1).max(10_000),
  connections: z.number().int().min(1).max(100_000).default(120),
  /** Maximum length of a target's queue; further requests are answered with 503. */
  shedAbove: z.number().int().min(0).max(100_000).default(200),
  /** Whether targets propagate the trace context to nested calls. */
  passesContext: z.boolean().default(true),
  handlers: z.array(handlerSchema).min(1),
});

const demandSchema = z.strictObject({
  group: nameSchema,
  kind: nameSchema,
  method: methodSchema,
  /** `{n}` is replaced by an id that is unique to each request. */
  path: z.string().startsWith('/'),
  /** Normal rate, in requests per second. */
  rate: z.number().min(0).max(1_000_000),
  /** Whether the caller sends an idempotency key. */
  idempotencyKey: z.boolean().default(false),
});

/** Schema of a deployment file. */
export const deploymentSchema = z.strictObject({
  name: nameSchema,
  zones: z.array(nameSchema).min(1),
  /** One-way latency between two zones, in milliseconds. */
  zoneLatencyMs: milliseconds,
  /** One-way latency between callers and edges, in milliseconds. */
  clientLatencyMs: milliseconds,
  services: z.array(serviceSchema).min(1),
  demand: z.array(demandSchema).min(1),
  /** Folder of declarations to apply, relative to the deployment file. */
  declarations: z.string(),
});

export type Deployment = z.infer<typeof deploymentSchema>;
export type ServiceModel = Deployment['services'][number];
export type HandlerModel = ServiceModel['handlers'][number];
export type NestedCallModel = HandlerModel['calls'][number];
export type DemandModel = Deployment['demand'][number];

/** A target of a deployment and its zone. */
export interface TargetPlacement {
  /** Id of the target's node, such as `buchwerk-2`. */
  readonly nodeId: string;
  readonly service: ServiceModel;
  readonly zone: string;
}

/** Assigns the targets of every service to the zones, round-robin. */
export function placeTargets(deployment: Deployment): TargetPlacement[] {
  return deployment.services.flatMap((service, serviceIndex) =>
    Array.from({ length: service.targets }, (_, index) => ({
      nodeId: `${service.name}-${index + 1}`,
      service,
      zone: deployment.zones[(serviceIndex + index) % deployment.zones.length]!,
    })),
  );
}

/** Returns the API key that a group's callers send. */
export function apiKeyOf(group: string): string {
  return `lab-key-of-${group}`;
}
