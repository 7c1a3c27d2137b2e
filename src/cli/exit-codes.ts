/** Exit codes of every command. docs/reference/exit-codes.md lists them for users. */
export const EXIT_CODES = {
  ok: 0,
  /** The request was refused, or something failed. */
  failed: 1,
  /** The command line, a settings file or a resource file is not valid. */
  usage: 2,
  /** The resource has another version than expected. */
  conflict: 3,
  /** No response from control: a change may have taken effect. Resend it with the same change id. */
  unreachable: 4,
  /** `diff` found differences. */
  different: 5,
  /** An error in a program that nothing has caught: an exception in a callback, or a rejected promise. */
  fault: 6,
} as const;

export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];
