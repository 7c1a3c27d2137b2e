/** Pins the order of the ingress rules, and the answer, log line and counter of each refusal. */
import { expect } from 'chai';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { request } from 'undici';
import { CongestionLevel } from '../../src/admission/congestion-level.js';
import { CallStats } from '../../src/call/call-stats.js';
import { RequestLog } from '../../src/call/request-log.js';
import { StopPhase, StopProgress, stopTimes } from '../../src/call/stop-phase.js';
import { SystemClock } from '../../src/common/clock.js';
import type { RandomSource } from '../../src/common/random.js';
import { DEFAULT_BODY_LIMITS } from '../../src/http/request-body.js';
import { DEFAULT_TARGET_HEADERS } from '../../src/http/target-headers.js';
import { decideOnHead, type IngressState, type Refused } from '../../src/ingress/ingress-rules.js';
import type { FirstHopRoom } from '../../src/ingress/first-hop-room.js';
import { IngressServer, type IngressServerOptions } from '../../src/ingress/ingress-server.js';
import { LinkPool } from '../../src/link/link-pool.js';
import { replacedHeaders } from '../../src/link/peer-transport.js';
import { EMPTY_POLICY_TABLE, PolicyTable } from '../../src/policy/policy-table.js';
import type { Resource } from '../../src/policy/resource-schema.js';
import { IngressQuota } from '../../src/quota/ingress-quota.js';
import { RepeatedRuns } from '../../src/retry/repeated-runs.js';
import { ServiceRetryBudget } from '../../src/retry/service-retry-budget.js';
import { NestedRoutes } from '../../src/routing/nested-routes.js';
import { WeightedSplit } from '../../src/routing/weighted-split.js';
import { DEFAULT_RETRY_BOUND } from '../../src/settings/schemas.js';
import { CapturedLines } from '../support/captured-lines.js';

const HOST = 'shop.example';
const MAX_HEADER_BYTES = 2_000;
const MAX_BODY_BYTES = 10;

const ROUTE = {
  kind: 'Route',
  name: 'order',
  spec: {
    host: HOST,
    pathPrefix: '/order/',
    semantics: 'repeatable',
    backends: [
      { service: 'ledger', weight: 1 },
      { service: 'stock', weight: 1 },
    ],
    timeoutMs: 2_000,
    objectiveMs: 400,
  },
} as Resource;
const INGRESS = {
  kind: 'Ingress',
  name: 'ingress',
  spec: { maxHeaderBytes: MAX_HEADER_BYTES },
} as Resource;
const GROUP = {
  kind: 'Group',
  name: 'shops',
  spec: { keys: ['right'], rank: 0, ratePerSecond: 10, burst: 0 },
} as Resource;

/** Properties of a request and of the ingress that rules depend on. */
interface RequestScenario {
  hasTable: boolean;
  padding: number;
  path: string;
  phase: StopPhase;
  maxInFlight: number;
  proofAgeMs: number;
  key: string;
  body: string;
  isQuarantined: boolean;
  hasRoom: boolean;
}

/** What a client and an operator see of a refused request. */
interface ObservedRefusal {
  readonly status: number;
  readonly outcome?: string;
  readonly cause?: string;
  readonly retryAfter?: string | undefined;
  /** Name under which the refusal is counted. */
  readonly counted?: string;
  /** Numbers drawn from the random source. */
  readonly drawn: number;
}

class CountingRandom implements RandomSource {
  drawn = 0;

  next(): number {
    this.drawn += 1;
    return 0.5;
  }

  nextInt(): number {
    this.drawn += 1;
    return 0;
  }
}

describe('the rules of an ingress', () => {
  const clock = new SystemClock();
  const stop = new StopProgress(clock);
  const random = new CountingRandom();
  const table = new PolicyTable(7, [ROUTE, INGRESS, GROUP]);
  let situation: RequestScenario;
  let sent = 0;
  let stats: CallStats;
  let lines: CapturedLines;
  let server: Server;

  before(async () => {
    stop.begin(stopTimes({ drainMs: 0, timeoutMs: 0 }));
    lines = new CapturedLines('sidecar', 'ingress-order');
    stats = new CallStats();
    const names = DEFAULT_TARGET_HEADERS;
    const options: Omit<IngressServerOptions, 'maxInFlight'> = {
      clock,
      random,
      fractionalRetryAfter: true,
      router: {
        call: (_service: string, _request: unknown, _transport: unknown, hear: ResultListener) => {
          sent += 1;
          hear(UNAVAILABLE);
        },
      } as unknown as IngressServerOptions['router'],
      split: new WeightedSplit(random),
      transport: {
        clock,
        links: new LinkPool('unused-link-token-of-a-test'),
        names,
        replacedHeaders: replacedHeaders(names),
        callingService: () => 'shop',
      },
      stats,
      bodyLimits: () => ({ ...DEFAULT_BODY_LIMITS, maxBytes: MAX_BODY_BYTES }),
      table: () => (situation.hasTable ? table : undefined),
      proofAgeMs: () => situation.proofAgeMs,
      maxProofAgeMs: 1_000,
      quota: new IngressQuota({
        clock,
        startedAt: 0,
        windowMs: 5_000,
        onGrantNeeded: () => undefined,
      }),
      stop,
      journal: new RequestLog(clock, lines.logger.part('request')),
      downstream: new CongestionLevel(clock),
      repeatedRuns: new RepeatedRuns(),
      retryBudget: new ServiceRetryBudget({ clock, ...DEFAULT_RETRY_BOUND, gates: () => 1 }),
      nestedRoutes: new NestedRoutes(),
      isQuarantined: () => situation.isQuarantined,
      room: {
        admit: () => (situation.hasRoom ? undefined : { service: 'stock', admittedPart: 0.25 }),
      } as unknown as FirstHopRoom,
    };
    server = createServer((message, response) => {
      stop.phase = situation.phase;
      const { maxInFlight } = situation;
      new IngressServer({ ...options, maxInFlight }).handle(message, response);
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  });

  after(() => {
    lines.end();
    server.close();
    server.closeAllConnections();
  });

  /** Starts with a request that violates every rule. */
  beforeEach(() => {
    situation = {
      hasTable: false,
      padding: MAX_HEADER_BYTES,
      path: '/elsewhere/',
      phase: StopPhase.Ending,
      maxInFlight: 0,
      proofAgeMs: 1_234.4,
      key: 'wrong',
      body: 'longer than it may be',
      isQuarantined: true,
      hasRoom: false,
    };
  });

  async function ask(): Promise<ObservedRefusal> {
    const { port } = server.address() as AddressInfo;
    const { path, padding, key, body } = situation;
    const linesBefore = lines.records.length;
    const refusedBefore = refusals(stats);
    random.drawn = 0;
    const response = await request(`http://127.0.0.1:${port}${path}`, {
      method: 'POST',
      headers: {
        host: HOST,
        'x-request-id': 'r1',
        'x-api-key': key,
        ...(padding > 0 && { 'x-padding': 'x'.repeat(padding) }),
      },
      body,
    });
    await response.body.dump();
    const line = lines.lines.slice(linesBefore)[0];
    const counted = [...refusals(stats)].find(
      ([name, count]) => count !== (refusedBefore.get(name) ?? 0),
    );
    return {
      status: response.statusCode,
      ...(line !== undefined && {
        outcome: String(line.outcome),
        cause: String(line.cause),
        retryAfter: response.headers['retry-after'] as string | undefined,
      }),
      ...(counted !== undefined && { counted: counted[0] }),
      drawn: random.drawn,
    };
  }

  it('are asked in this order, each with its own answer, line and counter', async () => {
    const seen = [await ask()];
    const fixes: Partial<RequestScenario>[] = [
      { hasTable: true },
      { padding: 0 },
      { path: '/order/1' },
      { phase: StopPhase.Running },
      { maxInFlight: 10 },
      { proofAgeMs: 1_000 },
      { key: 'right' },
      { body: 'short' },
      { isQuarantined: false },
      { hasRoom: true },
    ];
    for (const part of fixes) {
      Object.assign(situation, part);
      seen.push(await ask());
    }
    expect(seen).to.deep.equal([
      {
        status: 503,
        outcome: 'not-ready',
        cause: 'No configuration has been received yet.',
        retryAfter: '1',
        counted: 'unmatched not-ready',
        drawn: 0,
      },
      { status: 431, drawn: 0 },
      {
        status: 404,
        outcome: 'unknown-kind',
        cause: 'No route matches host and path.',
        retryAfter: undefined,
        counted: 'unmatched unknown-kind',
        drawn: 0,
      },
      {
        status: 503,
        outcome: 'leaving',
        cause: 'The process is about to end.',
        retryAfter: '1',
        counted: 'unmatched leaving',
        drawn: 0,
      },
      {
        status: 503,
        outcome: 'overload',
        cause: 'The process is at its limit of requests.',
        retryAfter: '1',
        counted: 'unmatched overload',
        drawn: 0,
      },
      {
        status: 503,
        outcome: 'stale-configuration',
        cause:
          'Control has not confirmed lately that the keys known here are the newest. Confirmed 1234 ms ago.',
        retryAfter: '2',
        counted: 'unmatched stale-configuration',
        drawn: 1,
      },
      {
        status: 401,
        outcome: 'unknown-group',
        cause: 'The API key is missing or unknown. Confirmed 1000 ms ago.',
        retryAfter: undefined,
        counted: 'unmatched unknown-group',
        drawn: 0,
      },
      {
        status: 413,
        outcome: 'too-large',
        cause: 'The request body was not taken.',
        retryAfter: undefined,
        counted: 'order too-large',
        // The service is chosen before the body is read.
        drawn: 2,
      },
      {
        status: 503,
        outcome: 'quarantined',
        cause: 'Targets crash under the request.',
        retryAfter: '600',
        counted: 'order quarantined',
        drawn: 0,
      },
      {
        status: 503,
        outcome: 'overload',
        cause: "Service 'stock' has room for 25% of the requests of this rank.",
        retryAfter: '0.1',
        counted: 'order overload',
        drawn: 1,
      },
      {
        status: 429,
        outcome: 'rate-limited',
        cause: "Group 'shops' is at its rate. Control has granted it nothing here.",
        retryAfter: '2',
        counted: 'order rate-limited',
        drawn: 0,
      },
    ]);
    expect(sent).to.equal(0);
  });
});

type ResultListener = (result: unknown) => void;

const UNAVAILABLE = {
  type: 'refused',
  refusal: { reason: 'unavailable', verdict: 'not-run', retryAfterSeconds: 1, detail: '' },
  overloaded: false,
  congestion: 0,
  nested: undefined,
};

/** Number of refusals by counter name and reason. */
function refusals({ kinds }: CallStats): Map<string, number> {
  const counts = new Map<string, number>();
  for (const [name, { refused }] of kinds) {
    for (const [reason, count] of refused) counts.set(`${name} ${reason}`, count);
  }
  return counts;
}

describe('an ingress whose first declared set was refused', () => {
  it('answers that it is not ready, and not that the route is unknown', () => {
    const head = { host: HOST, url: '/order/1', rawHeaders: [], apiKey: undefined };
    const state = { table: EMPTY_POLICY_TABLE } as IngressState;
    const decision = decideOnHead(head, state) as Refused;
    expect(decision.refusal.reason).to.equal('not-ready');
    expect(decision.refusal.verdict).to.equal('not-run');
  });
});
