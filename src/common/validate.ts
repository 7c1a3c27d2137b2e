/**
 * Turns zod's issues into the faults that shoredoor reports: every fault, with its path. For settings, resources and
 * scenarios. Owns nothing; relies on zod's messages, which operators read.
 */
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

/** The faults of `value` under `schema`; empty when it is valid. */
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
 * @throws ValidationError naming every fault
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
