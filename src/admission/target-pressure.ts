/**
 * Ratio of the demand for one target to its capacity, as it would be if no process on the way refused any of it: 1.5 means
 * that two thirds of the requests fit. Processes that requests reach first admit that part of them, so the state is
 * kept here, where it is one for all of them and survives their restarts.
 *
 * The load of the target shows only what is admitted already. So the ratio is a leaky integral of how far that load is above
 * or below its aim, plus a proportional part, which answers a sudden demand before the integral does and damps swings.
 */
import type { Clock } from '../common/clock.js';
import type { AdmissionStatus } from './admission-controller.js';

/** Load aimed at. In a lasting shortage the load is higher by the leak, close to the limit. */
const TARGET_LOAD = 0.88;
/** Time constant of the average of the load, in milliseconds: a target with few slots is full and empty by turns. */
const AVERAGING_MS = 100;
/** Time in which the ratio follows a constant load, in milliseconds: above the time from an admission to its effect here. */
const INTEGRAL_MS = 1_000;
/** Time constant of the leak, in milliseconds. Keeps targets with unequal load from drifting apart. */
const LEAK_MS = 3_000;
/** Exponent of the proportional part. */
const PROPORTIONAL = 0.8;
/** Weight of waiting calls beyond the limit. They add up over time, so their number overstates the demand. */
const EXCESS_WEIGHT = 0.25;
/** Bounds of the load that counts: outside them it is the past demand that shows. */
const MIN_LOAD = 0.3;
const MAX_LOAD = 1.3;
/** Largest ratio. */
const MAX_RATIO = 10;
/** Time constant of the average by which a falling load is told, in milliseconds. */
const TREND_MS = 400;
/** Longest step of the integral, in milliseconds. */
const MAX_STEP_MS = 500;

export class TargetPressure {
  private averageLoad = 0;
  private trendLoad = 0;
  private latestLoad = 0;
  /** Natural logarithm of the integral part, 0 or more. */
  private integral = 0;
  private updatedAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly status: () => AdmissionStatus,
  ) {
    this.updatedAt = clock.now();
  }

  /** Takes the load into account. Called when calls begin and end. */
  update(): void {
    const now = this.clock.now();
    const elapsedMs = now - this.updatedAt;
    this.updatedAt = now;
    if (elapsedMs > 0) this.advance(elapsedMs);
    this.latestLoad = loadOf(this.status());
  }

  /** Ratio of demand to capacity; 1 if the target has room for all. */
  current(): number {
    this.update();
    const ratio = Math.exp(this.integral + PROPORTIONAL * this.excess());
    return Math.min(MAX_RATIO, Math.max(1, ratio));
  }

  private advance(elapsedMs: number): void {
    const weight = 1 - Math.exp(-elapsedMs / AVERAGING_MS);
    this.averageLoad += weight * (this.latestLoad - this.averageLoad);
    this.trendLoad += (1 - Math.exp(-elapsedMs / TREND_MS)) * (this.latestLoad - this.trendLoad);
    const stepMs = Math.min(elapsedMs, MAX_STEP_MS);
    // Calls that were admitted earlier still wait, but what is admitted now fits.
    const isDraining = this.averageLoad > 1 && this.averageLoad < this.trendLoad;
    const raised = isDraining
      ? this.integral
      : this.integral + (stepMs / INTEGRAL_MS) * this.excess();
    this.integral = Math.min(
      Math.log(MAX_RATIO),
      Math.max(0, raised * Math.exp(-stepMs / LEAK_MS)),
    );
  }

  /** Natural logarithm of the load relative to its aim. */
  private excess(): number {
    const load = Math.min(MAX_LOAD, Math.max(MIN_LOAD, this.averageLoad));
    return Math.log(load / TARGET_LOAD);
  }
}

/** A target without a limit, for example before its registration, has no load. */
function loadOf({ inFlight, waiting, limit }: AdmissionStatus): number {
  if (limit <= 0) return 0;
  const load = (inFlight + waiting) / limit;
  return load <= 1 ? load : 1 + EXCESS_WEIGHT * (load - 1);
}
