/** Translates the end of an attempt into what the retry rule and the balancer ask of it. Pure. */
import type { EndpointResult } from '../call/endpoint.js';
import { CrashNote, type Outcome } from '../call/outcome.js';
import type { AttemptFailure } from '../call/transport.js';
import type { FailedAttempt } from '../retry/retry-policy.js';

/** Whether the target beside the gate is down. */
export function isTargetDown({ crashNote }: Outcome): boolean {
  return crashNote === CrashNote.TargetDown || crashNote === CrashNote.Suspect;
}

/** What the retry rule is told of a call that a gate refused. */
export function refusedAttempt(outcome: Outcome): FailedAttempt {
  const { verdict, overloaded, crashNote, rejectedByTarget = false } = outcome;
  const isDangerous = crashNote === CrashNote.Suspect || crashNote === CrashNote.Quarantined;
  return { verdict, overloaded, rejectedByTarget, isDangerous };
}

/** What the retry rule is told of a call whose connection broke. */
export function brokenAttempt({ written }: AttemptFailure): FailedAttempt {
  const verdict = written ? 'may-have-run' : 'not-run';
  return { verdict, overloaded: false, rejectedByTarget: false, isDangerous: false };
}

/** What a refusal says of its endpoint. A crash says nothing of the next incarnation. */
export function toEndpointResult(outcome: Outcome): EndpointResult {
  if (isTargetDown(outcome)) return 'cancelled';
  return outcome.refusal === 'unreachable' ? 'failed' : 'answered';
}
