/** Interface for early refusal at the caller, based on the downstream load that answers report. */

/** Downstream load reported with an answer. */
export interface CongestionReport {
  /** Whether the call or one of its nested calls was refused for overload or waited too long for a slot. */
  readonly overloaded: boolean;
}

export interface CallThrottle {
  /** Whether to send a call now; if not, the caller refuses it itself. */
  shouldSend(trafficClass: string, now: number): boolean;
  /** Records an answer to a call of the traffic class. */
  onAnswer(trafficClass: string, now: number, report: CongestionReport): void;
  /** Ratio of requested calls to calls sent, at least 1. */
  demandRatio(trafficClass: string, now: number): number;
}
