/** What the end of one attempt says of its endpoint, and of sending the request on. Pure. */
import type { EndpointResult } from '../call/endpoint.js';
import { CrashNote, type Outcome } from '../call/outcome.js';

/** Whether the target beside the gate is down. */
export function isTargetDown({ crashNote }: Outcome): boolean {
  return crashNote === CrashNote.TargetDown || crashNote === CrashNote.Suspect;
}

/** Whether the request is not to be sent to any other target. */
export function isDangerousAfter({ crashNote }: Outcome): boolean {
  return crashNote === CrashNote.Suspect || crashNote === CrashNote.Quarantined;
}

/** What a refusal says of its endpoint. A crash says nothing of the next incarnation. */
export function resultOf(outcome: Outcome): EndpointResult {
  if (isTargetDown(outcome)) return 'cancelled';
  return outcome.refusal === 'unreachable' ? 'failed' : 'answered';
}
