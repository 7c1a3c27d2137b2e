/** Early refusal at the caller, from what answers tell of the load below. One policy a file. */

/** What an answer tells of the load below. */
export interface CongestionReport {
  /** The call, or one made on its behalf, was refused for overload or waited long. */
  readonly overloaded: boolean;
}

export interface CallThrottle {
  /** Whether to send a call now. */
  admit(lane: string, now: number): boolean;
  /** An answer to a call of the lane has come. */
  onAnswer(lane: string, now: number, report: CongestionReport): void;
  /** Wanted calls for each call sent, at least 1. */
  pressure(lane: string, now: number): number;
}
