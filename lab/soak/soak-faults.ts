/** Injects the faults of a plan: signals to processes, network faults in the proxies, and misbehaviour of targets. */
import type { ProgramProcess } from '../fleet/program-process.js';
import type { DeadlyClient } from './deadly-client.js';
import type { SoakFleet, SoakMachine, SoakReplica } from './soak-fleet.js';
import { FaultKind, isControlFault, type PlannedFault } from './soak-plan.js';
import type { SoakRecord } from './soak-record.js';
import { GRACE_MS } from './soak-settings.js';
import type { SoakTarget } from './soak-target.js';

const SLOWDOWN_FACTOR = 6;
/** Time between the end of a target that has left and its restart, in milliseconds. */
const DOWN_MS = 500;
/** Time after the end of a fault in which its effects may still show, in milliseconds. */
const AFTERMATH_MS = 4_000;

export interface FaultContext {
  readonly fleet: SoakFleet;
  readonly targets: readonly SoakTarget[];
  readonly record: SoakRecord;
  readonly deadly: DeadlyClient;
  readonly now: () => number;
}

export class SoakFaults {
  /** Locks of processes with a fault in progress; a second fault on them is skipped. */
  private readonly locks = new Set<object>();

  constructor(private readonly context: FaultContext) {}

  /** Injects one fault and resolves when it is over. @returns false if another fault is in progress on its process */
  async inject(fault: PlannedFault): Promise<boolean> {
    const { machine, replica, target } = this.victimsOf(fault);
    const lock = this.lockOf(fault, machine);
    if (this.locks.has(lock)) return false;
    this.locks.add(lock);
    const fromMs = this.context.now();
    const isPlanned =
      fault.kind === FaultKind.StopSidecar ||
      fault.kind === FaultKind.ReloadSidecar ||
      fault.kind === FaultKind.AnnounceLimit;
    if (!isPlanned) this.recordDisturbance(machine, fromMs, fromMs + fault.forMs + AFTERMATH_MS);
    await this.apply(fault, machine, replica, target);
    if (!isPlanned) this.recordDisturbance(machine, fromMs, this.context.now() + AFTERMATH_MS);
    this.locks.delete(lock);
    return true;
  }

  private victimsOf({ victim }: PlannedFault): {
    machine: SoakMachine;
    replica: SoakReplica;
    target: SoakTarget;
  } {
    const { fleet, targets } = this.context;
    const machine = fleet.machines[victim % fleet.machines.length]!;
    const replica = fleet.replicas[victim % fleet.replicas.length]!;
    return { machine, replica, target: targets[machine.index]! };
  }

  /** The lock of a fault. All control replicas share one, so that a majority of them stays up. */
  private lockOf({ kind }: PlannedFault, machine: SoakMachine): object {
    if (kind === FaultKind.DeadlyRequest || kind === FaultKind.DeadlyCall) return {};
    // Announcements overlap with faults of the process beside the target.
    if (isAnnouncement(kind)) return machine.proxy;
    return isControlFault(kind) ? this.context.fleet.replicas : machine.process;
  }

  private recordDisturbance(machine: SoakMachine, fromMs: number, untilMs: number): void {
    this.context.record.onDisturbance({ machine: machine.index, fromMs, untilMs });
  }

  private async apply(
    fault: PlannedFault,
    machine: SoakMachine,
    replica: SoakReplica,
    target: SoakTarget,
  ): Promise<void> {
    const { kind, forMs, part, restartAfterMs = 0 } = fault;
    const { misbehaviour } = target;
    switch (kind) {
      case FaultKind.KillSidecar:
      case FaultKind.KillControl: {
        const { process } = kind === FaultKind.KillSidecar ? machine : replica;
        await process.kill();
        await pause(forMs);
        await process.start();
        return;
      }
      case FaultKind.PauseSidecar:
      case FaultKind.PauseControl: {
        const { process } = kind === FaultKind.PauseSidecar ? machine : replica;
        process.signal('SIGSTOP');
        await pause(forMs);
        process.signal('SIGCONT');
        return;
      }
      case FaultKind.StopSidecar:
        await this.stopSidecar(machine, restartAfterMs);
        return;
      case FaultKind.StopControl:
        await this.stop(replica.process);
        await replica.process.start();
        return;
      case FaultKind.ReloadSidecar:
        machine.process.signal('SIGHUP');
        return;
      case FaultKind.SilenceLinks:
        machine.proxy.silence({ toServer: true, toClient: true });
        return;
      case FaultKind.ResetLinks:
        machine.proxy.reset();
        return;
      case FaultKind.RejectCalls:
        misbehaviour.rejectedPart = part;
        await pause(forMs);
        misbehaviour.rejectedPart = 0;
        return;
      case FaultKind.LoseAnswers:
        misbehaviour.lostPart = part;
        await pause(forMs);
        misbehaviour.lostPart = 0;
        return;
      case FaultKind.CrashTarget:
        await target.crash(forMs);
        return;
      case FaultKind.AnnounceLimit:
        await announceLimits(target, fault);
        return;
      case FaultKind.LeaveByAnswers:
        await target.leave(forMs, DOWN_MS);
        return;
      case FaultKind.DeadlyRequest:
      case FaultKind.DeadlyCall:
        await this.context.deadly.run(fault);
        return;
      case FaultKind.SlowTargets:
        misbehaviour.slowdownFactor = SLOWDOWN_FACTOR;
        await pause(forMs);
        misbehaviour.slowdownFactor = 1;
    }
  }

  private async stopSidecar(machine: SoakMachine, restartAfterMs: number): Promise<void> {
    const fromMs = this.context.now();
    this.context.record.onStop({ machine: machine.index, fromMs, untilMs: fromMs + GRACE_MS });
    await this.stop(machine.process);
    await pause(restartAfterMs);
    await machine.process.start();
  }

  private async stop(process: ProgramProcess): Promise<void> {
    const exitCode = await process.stop(GRACE_MS);
    this.context.record.onStopped(process.id, exitCode !== null);
  }
}

function isAnnouncement(kind: FaultKind): boolean {
  return kind === FaultKind.AnnounceLimit || kind === FaultKind.LeaveByAnswers;
}

/** Announces the limit, then half of it, then twice as much, and so on. */
async function announceLimits(
  target: SoakTarget,
  { perSecond = 1, forMs, gapMs = forMs }: PlannedFault,
): Promise<void> {
  const { instance } = target;
  for (let step = 0; step * gapMs < forMs && target.instance === instance; step += 1) {
    target.announceLimit(step % 2 === 0 ? perSecond : perSecond / 2);
    await pause(Math.min(gapMs, forMs - step * gapMs));
  }
  if (target.instance === instance) target.announceLimit(undefined);
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
