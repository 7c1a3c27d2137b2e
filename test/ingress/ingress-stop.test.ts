import { expect } from 'chai';
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { setImmediate, setTimeout as delay } from 'node:timers/promises';
import { request } from 'undici';
import { CongestionLevel } from '../../src/admission/congestion-level.js';
import { CallStats } from '../../src/call/call-stats.js';
import { IngressServer, type IngressServerOptions } from '../../src/ingress/ingress-server.js';
import { RequestLog } from '../../src/call/request-log.js';
import { SystemClock } from '../../src/common/clock.js';
import { SeededRandom } from '../../src/common/random.js';
import { DEFAULT_BODY_LIMITS } from '../../src/http/request-body.js';
import { DEFAULT_TARGET_HEADERS } from '../../src/http/target-headers.js';
import { LinkPool } from '../../src/link/link-pool.js';
import { replacedHeaders } from '../../src/link/peer-transport.js';
import { IngressQuota } from '../../src/quota/ingress-quota.js';
import { RepeatedRuns } from '../../src/retry/repeated-runs.js';
import { ServiceRetryBudget } from '../../src/retry/service-retry-budget.js';
import { DEFAULT_RETRY_BOUND } from '../../src/settings/schemas.js';
import { SILENT_LOGGER } from '../../src/common/logger.js';
import { PolicyTable } from '../../src/policy/policy-table.js';
import type { Resource } from '../../src/policy/resource-schema.js';
import { StopPhase, StopProgress, stopTimes } from '../../src/call/stop-phase.js';
import { NestedRoutes } from '../../src/routing/nested-routes.js';
import { WeightedSplit } from '../../src/routing/weighted-split.js';

/** Ample time for the rest of a body to arrive over loopback. */
const REST_OF_BODY_MS = 100;

function route(name: string): Resource {
  const limits = { timeoutMs: 2_000, objectiveMs: 1_000, rank: 0, maxTargets: 2 };
  const spec = { host: 'shop.example', pathPrefix: `/${name}/`, semantics: 'repeatable' };
  return { kind: 'Route', name, spec: { ...spec, ...limits, service: 'ledger' } } as Resource;
}

describe('the ingress of a sidecar that is stopping', () => {
  const stop = new StopProgress(new SystemClock());
  let sent: string[] = [];
  let server: Server;
  let ingress: IngressServer;

  before(async () => {
    const clock = new SystemClock();
    const random = new SeededRandom(1);
    const table = new PolicyTable(1, [route('client'), route('target')]);
    // Refuses every call as if no target were available.
    const router = {
      call: (
        _service: string,
        { trafficClass }: { trafficClass: string },
        _transport: unknown,
        hear: ResultListener,
      ) => {
        sent.push(trafficClass);
        hear({
          type: 'refused',
          refusal: { reason: 'unavailable', verdict: 'not-run', retryAfterSeconds: 1, detail: '' },
          overloaded: false,
          congestion: 0,
          nested: undefined,
        });
      },
    } as unknown as IngressServerOptions['router'];
    const names = DEFAULT_TARGET_HEADERS;
    ingress = new IngressServer({
      clock,
      random,
      fractionalRetryAfter: true,
      router,
      split: new WeightedSplit(random),
      transport: {
        clock,
        links: new LinkPool('unused-link-token-of-a-test'),
        names,
        replacedHeaders: replacedHeaders(names),
        callingService: () => 'shop',
      },
      stats: new CallStats(),
      bodyLimits: () => DEFAULT_BODY_LIMITS,
      maxInFlight: 10,
      table: () => table,
      proofAgeMs: () => 0,
      maxProofAgeMs: Infinity,
      quota: new IngressQuota({
        clock,
        startedAt: 0,
        windowMs: 5_000,
        onGrantNeeded: () => undefined,
      }),
      stop,
      journal: new RequestLog(clock, SILENT_LOGGER),
      downstream: new CongestionLevel(clock),
      repeatedRuns: new RepeatedRuns(),
      retryBudget: new ServiceRetryBudget({ clock, ...DEFAULT_RETRY_BOUND, gates: () => 1 }),
      nestedRoutes: createNestedRoutes('target'),
      isQuarantined: () => false,
    });
    server = createServer(ingress.handle);
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  });

  after(() => {
    server.close();
    server.closeAllConnections();
  });

  async function ask(name: string) {
    sent = [];
    const { port } = server.address() as AddressInfo;
    const response = await request(`http://127.0.0.1:${port}/${name}/1`, {
      headers: { host: 'shop.example' },
    });
    const problem = (await response.body.json()) as { type: string };
    const { statusCode, headers } = response;
    return { status: statusCode, headers, reason: problem.type.split(':').at(-1), sent };
  }

  it('takes every request while clients have not noticed yet, and ends their connections', async () => {
    stop.begin(stopTimes({ drainMs: 60_000, timeoutMs: 60_000 }));
    for (const name of ['client', 'target']) {
      const { sent, headers } = await ask(name);
      expect(sent).to.deep.equal([`${name}/ledger`]);
      expect(headers.connection).to.equal('close');
    }
  });

  it('takes only calls that targets make while it finishes, and says when to come back', async () => {
    stop.phase = StopPhase.Finishing;
    const refused = await ask('client');
    expect(refused.sent).to.deep.equal([]);
    expect([refused.status, refused.reason]).to.deep.equal([503, 'leaving']);
    expect(Number(refused.headers['retry-after'])).to.be.above(0);
    expect((await ask('target')).sent).to.deep.equal(['target/ledger']);
  });

  it('does not send a request on that it has given up, when the rest of its body arrives', async () => {
    sent = [];
    // The request begins before the stop, so its connection is kept open after the answer.
    stop.phase = StopPhase.Running;
    const { port } = server.address() as AddressInfo;
    const client = connect({ host: '127.0.0.1', port });
    let answer = '';
    client.on('data', (bytes) => (answer += bytes.toString()));
    client.write('POST /target/1 HTTP/1.1\r\nhost: shop.example\r\ncontent-length: 4\r\n\r\nha');
    while (ingress.getInFlightRecords().length === 0) await setImmediate();
    ingress.endWithProcess();
    await once(client, 'data');
    client.write('lf');
    await delay(REST_OF_BODY_MS);
    client.destroy();
    expect(answer).to.match(/^HTTP\/1.1 503/);
    expect(sent).to.deep.equal([]);
  });
});

type ResultListener = (result: {
  type: 'refused';
  refusal: { reason: 'unavailable'; verdict: 'not-run'; retryAfterSeconds: number; detail: string };
  overloaded: boolean;
  congestion: number;
  nested: undefined;
}) => void;

/** Nested routes after ten gate answers that report `route` as called by targets. */
function createNestedRoutes(route: string): NestedRoutes {
  const routes = new NestedRoutes();
  for (let answer = 0; answer < 10; answer += 1) routes.onAnswer(route, true);
  return routes;
}
