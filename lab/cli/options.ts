/** Parses option values of the lab's commands. */
import { UsageError } from '../../src/common/errors.js';
import { parseOrThrow } from '../../src/common/validate.js';
import { mechanismsSchema, type Mechanisms } from '../simulator/mechanisms.js';

/** Parses a whole number. @throws UsageError when the value is not a whole number of at least `min` */
export function wholeNumber(name: string, value: unknown, min: number): number {
  const number = Number(value);
  if (Number.isInteger(number) && number >= min) return number;
  throw new UsageError(`${name} must be a whole number of at least ${min}, not '${String(value)}'`);
}

/**
 * Parses `--switch` options, such as `claims=local`; returns only the mechanisms that were given.
 * @throws ValidationError when a mechanism or its value is unknown
 */
export function mechanismsFrom(switches: string | string[] | undefined): Partial<Mechanisms> {
  const list = typeof switches === 'string' ? [switches] : (switches ?? []);
  const values = list.map((text) => {
    const [name = '', value = ''] = text.split('=', 2);
    return [name, value === 'true' || value === 'false' ? value === 'true' : value] as const;
  });
  const given = Object.fromEntries(values);
  const parsed = parseOrThrow(mechanismsSchema, given, '--switch');
  const isGiven = ([name]: [string, unknown]): boolean => Object.hasOwn(given, name);
  return Object.fromEntries(Object.entries(parsed).filter(isGiven));
}
