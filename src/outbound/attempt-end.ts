/** Converts the end of an attempt into the input of the retry policy and of the balancer. Pure. */
import type { EndpointResult } from '../call/endpoint.js';
import { CrashNote, type Outcome } from '../call/outcome.js';
import type { AttemptFailure } from '../call/transport.js';
import type { FailedAttempt } from '../retry/retry-policy.js';

/** Whether the gate reports that its target is down. */
export function isTargetDown({ crashNote }: Outcome): boolean {
  return crashNote === CrashNote.TargetDown || crashNote === CrashNote.Suspect;
}

/** Creates the input of the retry policy for an attempt that a gate refused. */
export function refusedAttempt(outcome: Outcome): FailedAttempt {
  const { verdict, overloaded, crashNote, rejectedByTarget = false } = outcome;
  const isDangerous = crashNote === CrashNote.Suspect || crashNote === CrashNote.Quarantined;
  const isTargetSpecific =
    outcome.refusal === 'target-rate-limit' || outcome.refusal === 'target-slowed';
  return { verdict, overloaded, rejectedByTarget, isDangerous, isTargetSpecific };
}

/** Creates the input of the retry policy for an attempt whose connection broke. */
export function brokenAttempt({ written }: AttemptFailure): FailedAttempt {
  const verdict = written ? 'may-have-run' : 'not-run';
  const unrefused = { overloaded: false, rejectedByTarget: false, isTargetSpecific: false };
  return { verdict, isDangerous: false, ...unrefused };
}

/**
 * Returns the result to report to the balancer for a refused attempt. A crash counts as `cancelled`: it says nothing about
 * the next incarnation of the target. A rate limit says nothing about the health of the target.
 */
export function toEndpointResult(outcome: Outcome): EndpointResult {
  if (isTargetDown(outcome) || outcome.refusal === 'target-rate-limit') return 'cancelled';
  return outcome.refusal === 'unreachable' ? 'failed' : 'answered';
}
