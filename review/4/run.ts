/** ROUTE: the address of a target that fell silent is given to a target of another service. */
import { setTimeout as delay } from 'node:timers/promises';
import { TargetAddress } from '../lib-2/address.ts';
import { type CaseRecord, type CaseResult, IS_CALM, runCase } from '../lib-2/case.ts';
import { Clients } from '../lib-2/clients.ts';
import { Deployment, freeAddress, INGRESS_RESOURCE, serviceResource } from '../lib-2/deployment.ts';
import { type RoleProcess, until } from '../lib-2/processes.ts';
import { Target } from '../lib-2/target.ts';

const BOUNDS = { retry_budget_ratio: 0.2, retry_budget_slack: 117, budget_window: 10, grace: 6 };
/** `address_reuse` of the site, and the time that the next target takes to start. */
const ADDRESS_REUSE_MS = 2_000;
const START_MS = 50;
/** Three targets, with requests for seven tenths of their slots. */
const TARGETS = 3;
const SLOTS = 14;
const WORK_MS = 200;
const PER_SECOND = 135;
const HOST = 'hulo84.example';
const UPLOADS = 'kafi81c';
const TICKETS = 'lovo22d';
const FRONT = 'huvo11a';
/** The site's `upload-timetable`: time-out 4,025 ms, aim 805 ms. */
const UPLOAD_ROUTE = {
  kind: 'Route',
  meta: { name: 'r-uploads' },
  spec: {
    host: HOST,
    pathPrefix: '/cufi502/',
    semantics: 'upload',
    timeoutMs: 4_025,
    objectiveMs: 805,
    rank: 1,
    service: UPLOADS,
    maxTargets: 2,
    anonymous: true,
  },
};

interface Machine {
  readonly sidecar: RoleProcess;
  readonly address: string;
  readonly front: TargetAddress;
}

class RouteCase {
  private readonly deployment = new Deployment(BOUNDS);
  private readonly machines: Machine[] = [];
  private readonly targets: Target[] = [];
  private readonly record: CaseRecord;

  constructor(record: CaseRecord) {
    this.record = record;
  }

  async play(): Promise<CaseResult> {
    try {
      return await this.run();
    } finally {
      for (const target of this.targets) target.end();
      for (const { front } of this.machines) front.stop();
      await this.deployment.end();
    }
  }

  private async run(): Promise<CaseResult> {
    const { deployment, record, targets } = this;
    await deployment.startControl(3);
    for (let index = 1; index <= TARGETS; index += 1) {
      await this.addMachine(`sidecar-${index}`, UPLOADS);
    }
    const clientMachine = await this.addMachine('sidecar-front', FRONT);
    await deployment.put(1, [
      UPLOAD_ROUTE,
      ...[UPLOADS, TICKETS, FRONT].map(serviceResource),
      INGRESS_RESOURCE,
    ]);
    for (const sidecar of deployment.sidecars) await deployment.untilReady(sidecar);
    for (const [index, machine] of this.machines.entries()) {
      const service = machine === clientMachine ? FRONT : UPLOADS;
      await this.addTarget(`i-${index + 1}`, service, machine, SLOTS);
    }
    await delay(2_000);
    const clients = new Clients({
      outbound: clientMachine.sidecar.address('outbound'),
      method: 'POST',
      host: HOST,
      path: '/cufi502/2f',
      perSecond: PER_SECOND,
      deadlineMs: 4_025,
      body: 'stop,time\n'.repeat(400),
    });
    clients.start();
    await delay(5_000);
    if (!IS_CALM) await this.reuseAddress(this.machines[0]!, targets[0]!);
    await delay(6_000);
    clients.stop();
    await until(() => clients.open === 0, 10_000, 'the last answers');
    record.addClients(clients);
    for (const target of targets) record.addTarget(target);
    const foreign = targets
      .filter(({ options }) => options.service === TICKETS)
      .flatMap(({ arrivals }) => arrivals.filter(({ ran }) => ran));
    const summary =
      `requests of the route of ${UPLOADS} that a target of ${TICKETS} ran: ${foreign.length}; ` +
      `answers to all: ${clients.summary()}`;
    return { isBroken: foreign.length > 0, summary };
  }

  /** The target falls silent for good; later, a target of another service has its address. */
  private async reuseAddress(machine: Machine, lost: Target): Promise<void> {
    machine.front.goDark();
    lost.stopHeartbeats();
    this.record.add(`${lost.options.instance} of ${UPLOADS} falls silent`);
    await delay(ADDRESS_REUSE_MS + START_MS);
    machine.sidecar.changeSettings({ service: TICKETS });
    await this.addTarget('i-next', TICKETS, machine, 45);
    this.record.add(`i-next of ${TICKETS} has its address`);
  }

  private async addMachine(node: string, service: string): Promise<Machine> {
    const address = await freeAddress();
    const front = new TargetAddress();
    await front.start(address);
    const sidecar = await this.deployment.startSidecar(node, service, address);
    const machine = { sidecar, address, front };
    this.machines.push(machine);
    return machine;
  }

  private async addTarget(
    instance: string,
    service: string,
    { sidecar, address, front }: Machine,
    slots: number,
  ): Promise<void> {
    const registration = sidecar.address('control');
    const target = new Target({
      instance,
      service,
      address,
      registration,
      slots,
      workMs: WORK_MS,
    });
    this.targets.push(target);
    const own = await freeAddress();
    front.give(own);
    await target.start(own);
  }
}

await runCase(import.meta.url, (record) => new RouteCase(record).play());
