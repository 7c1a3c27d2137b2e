/** DRAIN: a target leaves after its sidecar was killed and started again, before its next heartbeat. */
import { setTimeout as delay } from 'node:timers/promises';
import { type CaseRecord, type CaseResult, IS_CALM, runCase } from '../lib-2/case.ts';
import { Clients } from '../lib-2/clients.ts';
import { Deployment, freeAddress, INGRESS_RESOURCE, serviceResource } from '../lib-2/deployment.ts';
import { type RoleProcess, until } from '../lib-2/processes.ts';
import { Target } from '../lib-2/target.ts';

const BOUNDS = { retry_budget_ratio: 0.2, retry_budget_slack: 117, budget_window: 10, grace: 6 };
/** `drain` of the site. */
const DRAIN_MS = 2_000;
/** `contact` of the site: for so long after its start, the machine of the target is not in touch. */
const CONTACT_MS = 3_000;
/** How long the target serves after its leave was acknowledged: `drain`, and some seconds longer. */
const SERVES_ON_MS = 5_000;
/** When the sidecar is killed after a heartbeat, how long it stays down, and when the target leaves after that. */
const KILL_AFTER_MS = 800;
const DOWN_MS = 600;
const LEAVE_AFTER_MS = 300;
/** Targets of the service. */
const TARGETS = 6;
const HOST = 'jepu9.example';
const SEATS = 'wuno96b';
const FRONT = 'huvo11a';
/** The site's `book-seat`: aim 3,007 ms, time-out 1,500 ms, at most one run. */
const SEAT_ROUTE = {
  kind: 'Route',
  meta: { name: 'r-seats' },
  spec: {
    host: HOST,
    pathPrefix: '/puka111/',
    semantics: 'once',
    timeoutMs: 1_500,
    objectiveMs: 3_007,
    rank: 2,
    service: SEATS,
    maxTargets: 2,
    anonymous: true,
  },
};

interface Machine {
  readonly sidecar: RoleProcess;
  readonly target: Target;
  readonly address: string;
}

class DrainCase {
  private readonly deployment = new Deployment(BOUNDS);
  private readonly machines: Machine[] = [];
  private readonly record: CaseRecord;

  constructor(record: CaseRecord) {
    this.record = record;
  }

  async play(): Promise<CaseResult> {
    try {
      return await this.run();
    } finally {
      for (const { target } of this.machines) target.end();
      await this.deployment.end();
    }
  }

  private async run(): Promise<CaseResult> {
    const { deployment, machines, record } = this;
    await deployment.startControl(3);
    const leaving = await this.addMachine('sidecar-1', SEATS);
    for (let index = 2; index <= TARGETS; index += 1) {
      await this.addMachine(`sidecar-${index}`, SEATS);
    }
    const front = await this.addMachine('sidecar-front', FRONT);
    const services = [SEATS, FRONT].map(serviceResource);
    await deployment.put(1, [SEAT_ROUTE, ...services, INGRESS_RESOURCE]);
    for (const sidecar of deployment.sidecars) await deployment.untilReady(sidecar);
    for (const { target, address } of machines) await target.start(address);
    const clients = new Clients({
      outbound: front.sidecar.address('outbound'),
      method: 'POST',
      host: HOST,
      path: '/puka111/2f',
      perSecond: 100,
      deadlineMs: 5_003,
      body: 'one seat',
    });
    clients.start();
    await delay(5_000);
    const startedAt = IS_CALM ? 0 : await this.restartSidecar(leaving);
    const { target } = leaving;
    const status = await target.leave();
    const acknowledgedAt = Date.now();
    record.add(`the target of sidecar-1 leaves after heartbeat ${target.sequence}: ${status}`);
    if (status !== 200) throw new Error(`the leave was answered with ${status}`);
    await delay(SERVES_ON_MS);
    target.end();
    record.add('the target of sidecar-1 ends');
    await delay(3_000);
    clients.stop();
    await until(() => clients.open === 0, 10_000, 'the last answers');
    record.addClients(clients);
    for (const each of machines) record.addTarget(each.target);
    const from = Math.max(acknowledgedAt + DRAIN_MS, startedAt + CONTACT_MS);
    const late = target.arrivals.filter(({ at, ran }) => ran && at > from);
    const lastMs = (late.at(-1)?.at ?? acknowledgedAt) - acknowledgedAt;
    const answers = new Map(clients.sent.map(({ id, status }) => [id, status]));
    const lost = late.filter(({ id }) => answers.get(id) !== 200);
    const summary =
      `requests at the target later than ${DRAIN_MS} ms after its leave was acknowledged, all machines in touch: ` +
      `${late.length}, the last after ${lastMs} ms, and ${lost.length} of them without its answer; answers to all: ${clients.summary()}`;
    return { isBroken: late.length > 0, summary };
  }

  /** @returns when the sidecar was started again, in milliseconds since 1970 */
  private async restartSidecar({ sidecar, target }: Machine): Promise<number> {
    const before = target.sequence;
    await until(() => target.sequence > before, 3_000, 'the next heartbeat');
    await delay(KILL_AFTER_MS);
    this.record.add('SIGKILL of sidecar-1');
    await sidecar.kill();
    await delay(DOWN_MS);
    const startedAt = Date.now();
    sidecar.start();
    await this.deployment.untilReady(sidecar);
    this.record.add('sidecar-1 is ready again');
    await delay(LEAVE_AFTER_MS);
    return startedAt;
  }

  private async addMachine(node: string, service: string): Promise<Machine> {
    const address = await freeAddress();
    const sidecar = await this.deployment.startSidecar(node, service, address);
    const registration = sidecar.address('control');
    const options = { service, address, registration, slots: 62, workMs: 220 };
    const target = new Target({ instance: `i-${node}`, ...options });
    const machine = { sidecar, target, address };
    this.machines.push(machine);
    return machine;
  }
}

await runCase(import.meta.url, (record) => new DrainCase(record).play());
