/** An operation in progress that can be cancelled. */
export interface Cancellable {
  /** Cancels the operation. Has no effect once it has ended. */
  cancel(): void;
}
