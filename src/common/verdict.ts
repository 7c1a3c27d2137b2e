/**
 * Whether a request may have run at a backend. Errors and refusals contain a verdict, by which callers decide whether to
 * retry.
 *
 * - `not-run`: no backend received the request. Only used if the request was never written to a connection, or the node of
 *   the backend discarded it before forwarding.
 * - `may-have-run`: it is unknown whether the request has run.
 * - `ran`: a backend has responded.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';

const VERDICTS: readonly string[] = ['not-run', 'may-have-run', 'ran'];

export function isVerdict(text: string | undefined): text is Verdict {
  return text !== undefined && VERDICTS.includes(text);
}

/** Combines the verdicts of two attempts of a request; `ran` takes precedence, then `may-have-run`. */
export function combineVerdicts(first: Verdict, second: Verdict): Verdict {
  if (first === 'ran' || second === 'ran') return 'ran';
  if (first === 'may-have-run' || second === 'may-have-run') return 'may-have-run';
  return 'not-run';
}
