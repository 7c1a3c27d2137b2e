/**
 * Compares the metrics in a scrape of each program with a recorded list: name, type, label names and help text.
 * For prom-client's process metrics, labels are left out because they vary between processes.
 */
import { expect } from 'chai';
import { readFileSync } from 'node:fs';
import { request } from 'undici';
import type { Program } from '../../src/programs/program.js';
import { SILENT_LOGGER } from '../../src/common/logger.js';
import { startSidecar } from '../../src/programs/sidecar-program.js';
import { declareFirstSet, startLoneControl } from '../support/lone-control.js';
import {
  Cleanup,
  operatorClient,
  startTarget,
  startTestControl,
  startTestEdge,
  startTestNode,
  until,
} from '../support/processes.js';
import { ScriptedTarget } from '../support/scripted-target.js';
import { sidecarSettings } from '../support/sidecar-settings.js';

const OWN = 'shoredoor_';
const LATENCY_BOUNDS = [
  '1',
  '2',
  '5',
  '10',
  '20',
  '50',
  '100',
  '200',
  '500',
  '1000',
  '2000',
  '5000',
  '+Inf',
];

const NAMED_BY_THE_PAGE: readonly string[] = [
  'shoredoor_retry_repeats',
  'shoredoor_retry_allowed',
  'shoredoor_inbound_calls_total',
  'shoredoor_target_crashes_total',
  'shoredoor_quarantines',
  'shoredoor_configuration_proof_age_milliseconds',
  'shoredoor_told_revision',
  'shoredoor_applied_revision',
  'shoredoor_sync_held_milliseconds',
  'shoredoor_waiting_requests',
];

/** One scrape of a program. */
class Scrape {
  private constructor(
    readonly contentType: string,
    private readonly lines: readonly string[],
  ) {}

  static async of(program: Program): Promise<Scrape> {
    const response = await request(`${program.origins.admin}/metrics`);
    const text = await response.body.text();
    return new Scrape(String(response.headers['content-type']), text.split('\n'));
  }

  /** Describes each metric in one line. @param isOwn selects the product's metrics, or else the process metrics */
  families(isOwn: boolean): string[] {
    const helps = this.lines.filter((line) => line.startsWith('# HELP '));
    const families = helps.map((line) => {
      const [, , name, ...help] = line.split(' ');
      const labels = isOwn ? `{${this.labelsOf(name!).join(',')}} ` : '';
      return `${name} ${this.typeOf(name!)} ${labels}${help.join(' ')}`;
    });
    return families.filter((line) => line.startsWith(OWN) === isOwn).sort();
  }

  /** Returns the names and labels of a metric's samples. */
  samples(name: string): string[] {
    const isSample = (line: string): boolean => line.startsWith(`${name}{`);
    return this.lines.filter(isSample).map((line) => line.slice(0, line.lastIndexOf(' ')));
  }

  private typeOf(name: string): string {
    const line = this.lines.find((each) => each.startsWith(`# TYPE ${name} `));
    return line?.split(' ')[3] ?? '';
  }

  private labelsOf(name: string): string[] {
    const labels = this.samples(name).flatMap((sample) => [...sample.matchAll(/(\w+)="/g)]);
    return [...new Set(labels.map(([, label]) => label!))].sort();
  }
}

const POLICY = {
  kind: 'Policy' as const,
  name: 'shop',
  spec: {
    groups: [{ name: 'public', share: 1, keyHashes: [] }],
    defaultGroup: 'public',
    kinds: [
      {
        name: 'read',
        service: 'ledger',
        match: [{ method: 'GET' as const, path: '/read/{id}' }],
        importance: 'normal' as const,
        repeatable: true,
        internal: false,
        deadlineMs: 5_000,
      },
    ],
    retry: { allowance: 2, ratio: 0.1 },
  },
};

const SET = [
  {
    kind: 'Route',
    name: 'read',
    spec: {
      host: 'shop.example',
      pathPrefix: '/read/',
      semantics: 'repeatable',
      service: 'ledger',
      timeoutMs: 2_000,
      objectiveMs: 1_000,
      rank: 0,
      maxTargets: 2,
    },
  },
  { kind: 'Service', name: 'ledger', spec: { connections: 8 } },
];

function recorded(program: string): string[] {
  const text = readFileSync(`test/fixtures/metrics-${program}.txt`, 'utf8');
  return text.split('\n').filter(Boolean);
}

async function statusOf(url: string, headers: Record<string, string> = {}): Promise<number> {
  const response = await request(url, { headers });
  await response.body.dump();
  return response.statusCode;
}

describe('the metrics', () => {
  const cleanup = new Cleanup();
  const programs = new Map<string, Program>();

  before(async () => {
    await startNodeAndEdge();
    await startSidecarAndControl();
  });

  after(() => cleanup.run());

  async function startNodeAndEdge(): Promise<void> {
    const control = await startTestControl(cleanup);
    await operatorClient(control).put(POLICY, { changeId: 'first' });
    const origin = await startTarget(cleanup, (_message, response) => response.end('whole'));
    const node = await startTestNode(cleanup, control, 'ledger', origin);
    const edge = await startTestEdge(cleanup, control);
    await until(async () => (await statusOf(`${edge.origins.listen}/read/1`)) === 200);
    expect(await statusOf(`${node.origins.outbound}/read/1`, { host: 'nobody' })).to.equal(404);
    programs.set('node', node).set('edge', edge);
  }

  async function startSidecarAndControl(): Promise<void> {
    const control = await startLoneControl(cleanup);
    const target = await ScriptedTarget.start();
    cleanup.add(() => target.stop());
    const settings = sidecarSettings(control.origins.listen, {
      heartbeatIntervalMs: 100,
      stop: { drainMs: 0, timeoutMs: 0 },
      firstHopRoom: true,
    });
    const sidecar = await startSidecar(settings, SILENT_LOGGER);
    cleanup.add(() => sidecar.stop());
    programs.set('sidecar', sidecar).set('control', control);
    await until(() => declare(control));
    const { registration, outbound } = sidecar.origins;
    const { address } = target;
    const report = { service: 'ledger', address, slots: 8, state: 'ready', sequence: 1 };
    const response = await request(`${registration}/v1/instances/i-1`, {
      method: 'PUT',
      body: JSON.stringify(report),
    });
    await response.body.dump();
    const headers = { host: 'shop.example', 'x-request-id': 'q-1' };
    await until(async () => (await statusOf(`${outbound}/read/1`, headers)) === 200);
  }

  async function declare(control: Program): Promise<boolean> {
    return declareFirstSet(control.origins.listen, SET);
  }

  for (const program of ['control', 'node', 'edge', 'sidecar']) {
    it(`of ${program} are these`, async () => {
      const scrape = await Scrape.of(programs.get(program)!);
      expect(scrape.families(true)).to.deep.equal(recorded(program));
    });

    it(`of the process of ${program} are these`, async () => {
      const scrape = await Scrape.of(programs.get(program)!);
      expect(scrape.families(false)).to.deep.equal(recorded('process'));
      expect(scrape.contentType).to.equal('text/plain; version=0.0.4; charset=utf-8');
    });
  }

  const directions = [
    ['edge', 'edge'],
    ['node', 'inbound'],
    ['sidecar', 'inbound'],
    ['sidecar', 'outbound'],
  ] as const;
  for (const [program, direction] of directions) {
    it(`of ${direction} calls of ${program} tell results and latencies by kind`, async () => {
      const scrape = await Scrape.of(programs.get(program)!);
      const calls = `shoredoor_${direction}_calls_total`;
      expect(scrape.samples(calls)).to.include.members([
        `${calls}{kind="read",result="relayed"}`,
        `${calls}{kind="read",result="broken"}`,
        `${calls}{kind="read",result="cancelled"}`,
      ]);
      const bucket = `shoredoor_${direction}_latency_milliseconds_bucket`;
      const ofKind = scrape.samples(bucket).filter((sample) => sample.includes('kind="read"'));
      expect(ofKind).to.deep.equal(
        LATENCY_BOUNDS.map((bound) => `${bucket}{kind="read",le="${bound}"}`),
      );
    });
  }

  it('that the pages for operators name are exposed', () => {
    const page = readFileSync('docs/OPERATIONS.md', 'utf8');
    const exposed = ['control', 'node', 'edge', 'sidecar']
      .flatMap(recorded)
      .map((line) => line.split(' ')[0]);
    expect(page).to.include('`shoredoor_admission_*`');
    for (const name of NAMED_BY_THE_PAGE) {
      expect(page).to.include(`\`${name}\``);
      expect(exposed).to.include(name);
    }
  });

  it('count refusals by their reason', async () => {
    const { outbound } = programs.get('sidecar')!.origins;
    const headers = { host: 'shop.example', 'x-request-id': 'q-2' };
    expect(await statusOf(`${outbound}/nowhere`, headers)).to.equal(404);
    const scrape = await Scrape.of(programs.get('sidecar')!);
    const refused = scrape
      .samples('shoredoor_outbound_calls_total')
      .filter((sample) => sample.includes('refused-unknown-kind'));
    expect(refused).to.have.length(1);
  });
});
