/** Early refusal at the caller, from what answers report of the load downstream. */

/** What an answer reports of the load downstream. */
export interface CongestionReport {
  /** The call, or one made on its behalf, was refused for overload or waited long. */
  readonly overloaded: boolean;
}

export interface CallThrottle {
  /** Whether to send a call now. */
  admit(trafficClass: string, now: number): boolean;
  /** An answer to a call of the traffic class has come. */
  onAnswer(trafficClass: string, now: number, report: CongestionReport): void;
  /** Wanted calls for each call sent, at least 1. */
  pressure(trafficClass: string, now: number): number;
}
