/** Decides which arrivals of a simulated request are repeats, independently of the code under test. */
import { ClientRequest } from './client-request.js';

/** Stands for a request whose client is not simulated. */
const UNKNOWN_REQUEST = new ClientRequest('', 0);

export class RequestLineage {
  private arrivals = 0;

  /**
   * @param isFromRepeatedRun whether a repeated run sent the request
   * @param request the client's request that led to this one
   * @param clientAttempt which attempt of the client led to this one, from 1
   */
  constructor(
    readonly isFromRepeatedRun: boolean,
    readonly request: ClientRequest = UNKNOWN_REQUEST,
    readonly clientAttempt = 1,
  ) {}

  /** The lineage of a request that a target sends while it handles this one. @param isRepeat whether this run is a repeat */
  nested(isRepeat: boolean): RequestLineage {
    return new RequestLineage(isRepeat, this.request, this.clientAttempt);
  }

  /** Records an arrival at a target. @returns whether it counts as a repeat */
  recordArrival(): boolean {
    this.arrivals += 1;
    return this.isFromRepeatedRun || this.arrivals > 1;
  }
}
