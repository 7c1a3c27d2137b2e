/** Validates settings, resources and scenarios with zod, and converts its issues to faults. */
import type { z } from 'zod';
import { ValidationError, type Fault } from './errors.js';

function formatPath(path: readonly PropertyKey[]): string {
  let text = '';
  for (const part of path) {
    if (typeof part === 'number') text += `[${part}]`;
    else text += text === '' ? String(part) : `.${String(part)}`;
  }
  return text;
}

/** Validates `value` and returns its faults; empty if it is valid. */
export function faultsOf(schema: z.ZodType, value: unknown): Fault[] {
  const result = schema.safeParse(value);
  if (result.success) return [];
  return toFaults(result.error);
}

function toFaults(error: z.ZodError): Fault[] {
  return error.issues.map((issue) => ({
    path: formatPath(issue.path),
    message: issue.message,
  }));
}

/**
 * Parses `value` with `schema`.
 * @param subject what the value is, for the error message
 * @throws ValidationError with all faults
 */
export function parseOrThrow<Output>(
  schema: z.ZodType<Output>,
  value: unknown,
  subject: string,
): Output {
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  throw new ValidationError(`${subject}: not valid`, {
    props: { faults: toFaults(result.error) },
  });
}
