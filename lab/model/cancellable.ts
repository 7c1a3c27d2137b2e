/** Something under way that can be withdrawn: a request, a call, or the work on one. */
export interface Cancellable {
  /** Withdraws it. Harmless when it is over. */
  cancel(): void;
}
