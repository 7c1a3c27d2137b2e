/** A simulated operator: makes conditional changes concurrently with others and resends unanswered changes. */
import type { RandomSource } from '../../../src/common/random.js';
import type {
  ResourceCommand,
  ResourceResult,
  Precondition,
} from '../../../src/control/commands.js';
import { parseResource } from '../../../src/policy/resource-schema.js';
import { MachineClock } from '../machine-clock.js';
import { exchange } from '../sim-exchange.js';
import { SimMachine } from '../sim-network.js';
import type { AcknowledgedState, ReplicationChecker } from './replication-checker.js';
import type { ReplicationNetwork } from './replication-network.js';
import type { ChangeAnswer, SimReplica } from './sim-replica.js';

const RESOURCES = 4;
const MEAN_PAUSE_MS = 120;
const ANSWER_TIMEOUT_MS = 500;
const RETRY_MS = 40;
const READ_CHANCE = 0.3;
const DELETE_CHANCE = 0.15;
const MAX_QUEUE_WAIT_MS = 900;

export class SimWriter {
  readonly machine: SimMachine;
  private sequence = 0;
  private stopped = false;
  /** Last observed versions by resource name. */
  private readonly versions = new Map<string, number>();

  constructor(
    name: string,
    zone: string,
    private readonly replicas: readonly SimReplica[],
    private readonly network: ReplicationNetwork,
    private readonly checker: ReplicationChecker,
    private readonly random: RandomSource,
  ) {
    this.machine = new SimMachine(name, zone);
  }

  start(): void {
    this.scheduleNextOperation();
  }

  /** Starts no further operation. */
  stop(): void {
    this.stopped = true;
  }

  private get clock(): MachineClock {
    return new MachineClock(this.network.clock, this.machine);
  }

  private scheduleNextOperation(): void {
    if (this.stopped) return;
    this.clock.schedule(MEAN_PAUSE_MS * 2 * this.random.next(), () => {
      if (this.random.next() < READ_CHANCE) this.read();
      else this.change();
    });
  }

  private read(): void {
    const stateAtStart = this.checker.acknowledgedState();
    this.sendRequest<number | undefined>(
      (replica, answer) => replica.read(answer),
      (revision) => {
        if (revision !== undefined) this.checker.onRead(revision, stateAtStart);
        this.scheduleNextOperation();
      },
    );
  }

  private change(): void {
    const command = this.nextCommand();
    this.send(command, this.checker.acknowledgedState());
  }

  /** Sends a change until it is answered, always with the same change id. */
  private send(command: ResourceCommand, stateAtStart: AcknowledgedState): void {
    this.sendRequest<ChangeAnswer>(
      (replica, answer) => replica.change(command, answer),
      (answer) => {
        if (answer?.type === 'result') {
          this.onResult(command, answer.result, stateAtStart);
          this.scheduleNextOperation();
        } else this.clock.schedule(RETRY_MS, () => this.send(command, stateAtStart));
      },
    );
  }

  private onResult(
    command: ResourceCommand,
    result: ResourceResult,
    stateAtStart: AcknowledgedState,
  ): void {
    this.checker.onChangeAnswered(command, result, stateAtStart);
    const name = command.type === 'put' ? command.resource.name : command.target.name;
    if (result.type === 'accepted') this.versions.set(name, result.revision);
    if (result.type === 'conflict') this.versions.set(name, result.current?.version ?? 0);
    if (result.type === 'not-found') this.versions.delete(name);
  }

  private nextCommand(): ResourceCommand {
    this.sequence += 1;
    const name = `service-${this.random.nextInt(RESOURCES)}`;
    const base = {
      changeId: `${this.machine.id}/${this.sequence}`,
      actor: this.machine.id,
      at: 0,
      precondition: this.precondition(name),
    };
    if (this.random.next() < DELETE_CHANCE) {
      return { ...base, type: 'delete', target: { kind: 'Service', name } };
    }
    const resource = parseResource({
      kind: 'Service',
      name,
      spec: { queueWaitMs: this.random.nextInt(MAX_QUEUE_WAIT_MS) },
    });
    return { ...base, type: 'put', resource };
  }

  private precondition(name: string): Precondition {
    const version = this.versions.get(name);
    if (this.random.next() < 0.5) return 'any';
    return version === undefined || version === 0 ? 'absent' : version;
  }

  /** Sends a request to a random replica; the answer is undefined after a timeout. */
  private sendRequest<Answer>(
    request: (replica: SimReplica, answer: (answer: Answer) => void) => void,
    done: (answer: Answer | undefined) => void,
  ): void {
    const replica = this.replicas[this.random.nextInt(this.replicas.length)]!;
    const ends = { from: this.machine, to: replica.machine, timeoutMs: ANSWER_TIMEOUT_MS };
    exchange<Answer>(
      { ...this.network.exchangeDefaults, ...ends },
      (answer) => request(replica, answer),
      done,
    );
  }
}
