/** The messages between followers and control whose golden bytes are in follower-messages.txt. */
import type { Heartbeat, HeartbeatReply } from '../../src/sync/heartbeat.js';
import type { StoredResource } from '../../src/policy/stored-resource.js';
import type { ConfigurationUpdate } from '../../src/sync/sync-codec.js';
import { NO_REVISION, type SyncRequest, type SyncResponse } from '../../src/sync/sync-protocol.js';
import type { Resource, ResourceKind } from '../../src/policy/resource-schema.js';
import type { EndpointRecord } from '../../src/call/endpoint.js';

/** A message and the name of its golden block. */
export interface MessagePin<Message> {
  readonly name: string;
  readonly message: Message;
}

const FINGERPRINT = '0123456789abcdef0123-01234567';

export const FULL_HEARTBEAT: Required<Heartbeat> = {
  id: 'node-1',
  role: 'node',
  incarnation: 1_764_700_000_123,
  zone: 'zone-a',
  service: 'ledger',
  origin: 'http://10.0.0.1:7100',
  claimEpoch: 3,
  crashNews: {
    crashes: [{ instance: 'i-1', fingerprints: [FINGERPRINT] }],
    acquitted: ['0123456789abcdef0123'],
  },
  quota: {
    startedAt: 1_764_700_000_000,
    uptimeMs: 5_000.5,
    sequence: 12,
    adopted: 11,
    uses: [{ group: 'gold', used: 3, offered: 5, held: 40 }],
  },
  state: 'ready',
  appliedRevision: 41,
};

const EDGE_HEARTBEAT: Heartbeat = {
  id: 'edge-1',
  role: 'edge',
  incarnation: 1,
  zone: 'zone-b',
  service: undefined,
  origin: undefined,
  claimEpoch: 0,
  state: 'leaving',
  appliedRevision: NO_REVISION,
};

const HEARTBEATS: readonly MessagePin<Heartbeat>[] = [
  { name: 'heartbeat, all fields set', message: FULL_HEARTBEAT },
  { name: 'heartbeat of an edge, optional fields absent', message: EDGE_HEARTBEAT },
  {
    name: 'heartbeat of a sidecar with no news',
    message: { ...FULL_HEARTBEAT, claimEpoch: 0, crashNews: undefined, quota: undefined },
  },
  {
    name: 'heartbeat of an earlier incarnation',
    message: { ...FULL_HEARTBEAT, incarnation: 5, crashNews: undefined, quota: undefined },
  },
  {
    name: 'heartbeat, a group at its limit',
    message: {
      ...FULL_HEARTBEAT,
      crashNews: undefined,
      quota: {
        ...FULL_HEARTBEAT.quota,
        uses: [{ group: 'gold', used: 40, offered: 90, held: 40, projected: 200, waiting: 2 }],
      },
    },
  },
];

type OkReply = Extract<HeartbeatReply, { type: 'ok' }>;

export const FULL_REPLY: Required<OkReply> = {
  type: 'ok',
  revision: 41,
  isCurrent: true,
  controlOrigins: ['http://10.0.0.1:7000', 'http://10.0.0.2:7000'],
  endpoints: { source: 'control-1@1764700000000', version: 9 },
  confirmedAgeMs: 12.5,
  quota: { sequence: 12, grants: [{ group: 'gold', allowance: 40 }] },
};

const REPLIES: readonly MessagePin<HeartbeatReply>[] = [
  { name: 'heartbeat reply, all fields set', message: FULL_REPLY },
  {
    name: 'heartbeat reply of a replica that does not lead',
    message: { ...FULL_REPLY, isCurrent: false, confirmedAgeMs: undefined, quota: undefined },
  },
  {
    name: 'heartbeat reply, optional fields absent',
    message: { type: 'ok', revision: 0, isCurrent: false },
  },
  { name: 'heartbeat reply, superseded', message: { type: 'superseded' } },
  {
    name: 'heartbeat reply, a group at its limit',
    message: {
      ...FULL_REPLY,
      quota: { sequence: 12, grants: [{ group: 'gold', allowance: 40, isLimited: true }] },
    },
  },
];

export const FULL_SYNC_REQUEST: Required<SyncRequest> = {
  revision: 41,
  endpointSource: 'control-1@1764700000000',
  endpointVersion: 9,
  suspectVersion: 2,
};

const SYNC_REQUESTS: readonly MessagePin<SyncRequest>[] = [
  { name: 'sync request, all fields set', message: FULL_SYNC_REQUEST },
  {
    name: 'sync request of a process that has nothing',
    message: { revision: NO_REVISION, endpointSource: '', endpointVersion: 0 },
  },
  {
    name: 'sync request of a process that followed another replica',
    message: { ...FULL_SYNC_REQUEST, endpointSource: 'control-2@1', suspectVersion: 0 },
  },
];

/** One resource of each kind sent to followers; a new kind fails to compile until it is added here. */
const RESOURCES: Record<ResourceKind, Resource> = {
  Service: {
    kind: 'Service',
    name: 'ledger',
    spec: {
      concurrency: { algorithm: 'fixed', initial: 10, min: 1, max: 200 },
      connections: 100,
      queueWaitMs: 100,
      slowStartMs: 10_000,
      healthCheckPath: '/health',
    },
  },
  Policy: {
    kind: 'Policy',
    name: 'main',
    spec: {
      groups: [{ name: 'gold', share: 2, keyHashes: ['a'.repeat(64)] }],
      defaultGroup: 'gold',
      kinds: [
        {
          name: 'place-order',
          service: 'ledger',
          match: [{ method: 'POST', path: '/v1/orders' }],
          importance: 'high',
          repeatable: false,
          internal: false,
          deadlineMs: 2_000,
        },
      ],
      retry: { allowance: 2, ratio: 0.1 },
    },
  },
  ClaimView: {
    kind: 'ClaimView',
    name: 'ledger',
    spec: {
      epoch: 2,
      members: [{ id: 'node-1', zone: 'zone-a', incarnation: 5 }],
      previousMembers: [{ id: 'node-2', zone: 'zone-b', incarnation: 4 }],
    },
  },
  Quarantine: {
    kind: 'Quarantine',
    name: FINGERPRINT,
    spec: { inForce: true, until: 1_764_700_600_000, terms: 1 },
  },
  Route: {
    kind: 'Route',
    name: 'orders',
    spec: {
      host: 'shop.example',
      pathPrefix: '/v1/',
      semantics: 'once',
      timeoutMs: 2_000,
      objectiveMs: 400,
      rank: 1,
      maxTargets: 3,
      backends: [{ service: 'ledger', weight: 1 }],
      anonymous: true,
    },
  },
  Ingress: {
    kind: 'Ingress',
    name: 'limits',
    spec: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_048_576,
      headerTimeoutMs: 5_000,
      idleTimeoutMs: 60_000,
    },
  },
  Group: {
    kind: 'Group',
    name: 'gold',
    spec: { keys: ['key-1'], rank: 0, ratePerSecond: 100, burst: 20 },
  },
};

const STORED: readonly StoredResource[] = Object.values(RESOURCES).map((resource, index) => ({
  resource,
  version: index + 1,
  changedBy: 'ops',
  changedAt: 1_764_700_000_000,
}));

const ENDPOINT: Required<EndpointRecord> = {
  id: 'node-1',
  incarnation: 1_764_700_000_123,
  service: 'ledger',
  zone: 'zone-a',
  origin: 'http://10.0.0.1:7100',
  state: 'ready',
};

const SOURCE = { endpointSource: 'control-1@1764700000000', endpointVersion: 9 };

const SMALL_RESPONSE: Required<SyncResponse> = {
  revision: 42,
  resources: undefined,
  changes: [
    {
      revision: 41,
      id: { kind: 'Group', name: 'gold' },
      stored: STORED.at(-1),
      actor: 'ops',
      at: 1_764_700_000_000,
    },
    {
      revision: 42,
      id: { kind: 'Service', name: 'ledger' },
      stored: undefined,
      actor: 'ops',
      at: 1_764_700_001_000,
    },
  ],
  ...SOURCE,
  suspects: {
    version: 2,
    suspects: [{ fingerprint: FINGERPRINT, firstCrashAgoMs: 1_500.5 }],
  },
  endpoints: undefined,
  endpointChanges: [
    { version: 8, id: 'node-1', record: { ...ENDPOINT, state: 'leaving' } },
    { version: 9, id: 'node-2', record: undefined },
  ],
};

/** A response whose configuration is compressed. */
export const LARGE_RESPONSE: SyncResponse = {
  revision: 42,
  resources: STORED,
  changes: [],
  ...SOURCE,
  endpoints: [ENDPOINT],
  endpointChanges: [],
};

const NO_NEWS: SyncResponse = {
  revision: 42,
  resources: undefined,
  changes: [],
  endpointSource: '',
  endpointVersion: 0,
  endpoints: undefined,
  endpointChanges: [],
};

export const SYNC_RESPONSES: readonly MessagePin<SyncResponse>[] = [
  { name: 'sync response, changes', message: SMALL_RESPONSE },
  { name: 'sync response, no news', message: NO_NEWS },
];

/** The configuration part of sync responses, which is encoded separately within the response. */
export const CONFIGURATIONS: readonly MessagePin<ConfigurationUpdate>[] = [
  { name: 'configuration, changes', message: configurationOf(SMALL_RESPONSE) },
  { name: 'configuration, everything', message: configurationOf(LARGE_RESPONSE) },
];

/** Messages that are encoded without an inner encoded part. */
export const PLAIN_PINS: readonly MessagePin<unknown>[] = [
  ...HEARTBEATS,
  ...REPLIES,
  ...SYNC_REQUESTS,
];

function configurationOf({ revision, resources, changes }: SyncResponse): ConfigurationUpdate {
  return { revision, resources, changes };
}
