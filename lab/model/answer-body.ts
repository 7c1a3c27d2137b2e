/**
 * Response bodies of the lab's back ends. Each contains the id of its request and its own length, so that a
 * caller can detect a truncated body and a body that belongs to another request.
 */

const TERMINATOR = '.end';

/** Builds the body for a request; longer than `bytes` if the request id does not fit. */
export function answerBody(requestId: string, bytes: number): string {
  const head = `${requestId}:${bytes}:`;
  const fill = Math.max(0, bytes - head.length - TERMINATOR.length);
  return `${head}${'x'.repeat(fill)}${TERMINATOR}`;
}

/** Result of checking a body: complete, incomplete, or the body of another request. */
export type AnswerCheck = 'whole' | 'part' | 'foreign';

/** Checks a received body against the id of the request that was sent. */
export function checkAnswer(requestId: string, body: string): AnswerCheck {
  const [owner, length] = body.split(':', 2);
  if (owner !== requestId) return 'foreign';
  return body === answerBody(requestId, Number(length)) ? 'whole' : 'part';
}
