/** A simulated request of a client, with all of its attempts. */

/** How a request ended; `open` if it had not ended by the end of the run. */
export type RequestEnd = 'in-time' | 'late' | 'refused' | 'failed' | 'open';

export class ClientRequest {
  end: RequestEnd = 'open';
  /** Attempts of the client so far. */
  attempts = 0;

  /** @param sentAt time of the first attempt, in virtual milliseconds */
  constructor(
    readonly route: string,
    readonly sentAt: number,
  ) {}
}
