/**
 * Whether a request may have run at a back end. Every error and every refusal carries one, and a caller decides by it
 * whether it may send the request again. Pure.
 *
 * - `not-run`: it is known that no back end saw the request. Only said when the request was never
 *   written to a connection, or the node beside the back end removed it before forwarding.
 * - `may-have-run`: it cannot be known.
 * - `ran`: a back end answered.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';

const VERDICTS: readonly string[] = ['not-run', 'may-have-run', 'ran'];

/** Whether `text` is a verdict. */
export function isVerdict(text: string | undefined): text is Verdict {
  return text !== undefined && VERDICTS.includes(text);
}

/**
 * The verdict of a request after several attempts: the most that any attempt may have done.
 */
export function combineVerdicts(first: Verdict, second: Verdict): Verdict {
  if (first === 'ran' || second === 'ran') return 'ran';
  if (first === 'may-have-run' || second === 'may-have-run') return 'may-have-run';
  return 'not-run';
}
