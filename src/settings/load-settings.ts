/**
 * Loads a program's settings from a YAML file, applies `--set` flags and validates the result; unknown keys are refused. See
 * docs/reference/settings.md.
 */
import { readFileSync } from 'node:fs';
import { parse, YAMLParseError } from 'yaml';
import type { z } from 'zod';
import { ValidationError } from '../common/errors.js';
import { parseOrThrow } from '../common/validate.js';

/** Sets `value` at a dotted path, creating missing objects. */
function setAtPath(root: Record<string, unknown>, path: string, value: unknown): void {
  const names = path.split('.');
  const last = names.pop()!;
  let current = root;
  for (const name of names) {
    const next = current[name];
    if (typeof next === 'object' && next !== null && !Array.isArray(next)) {
      current = next as Record<string, unknown>;
    } else {
      const created: Record<string, unknown> = {};
      current[name] = created;
      current = created;
    }
  }
  current[last] = value;
}

/** Applies one `--set PATH=VALUE` flag; the value is parsed as YAML. */
function applyOverride(root: Record<string, unknown>, override: string): void {
  const separator = override.indexOf('=');
  if (separator <= 0) {
    throw new ValidationError('flags are not valid', {
      props: { faults: [{ path: '--set', message: `'${override}' must be PATH=VALUE` }] },
    });
  }
  setAtPath(root, override.slice(0, separator), parse(override.slice(separator + 1)));
}

/** Reads a YAML file. @throws ValidationError when it cannot be read or parsed */
export function readYamlFile(file: string): unknown {
  try {
    return parse(readFileSync(file, 'utf8')) as unknown;
  } catch (error) {
    const message =
      error instanceof YAMLParseError
        ? error.message
        : `cannot be read: ${(error as NodeJS.ErrnoException).code ?? String(error)}`;
    throw new ValidationError(`${file} is not valid`, {
      props: { faults: [{ path: '', message }] },
    });
  }
}

/**
 * Loads and validates settings.
 * @param file YAML file, or undefined to use flags only
 * @param overrides `PATH=VALUE` strings, applied in order
 * @throws ValidationError listing every fault with its path
 */
export function loadSettings<Settings>(
  schema: z.ZodType<Settings>,
  file: string | undefined,
  overrides: readonly string[],
): Settings {
  const document = file === undefined ? {} : (readYamlFile(file) ?? {});
  if (typeof document !== 'object' || Array.isArray(document)) {
    throw new ValidationError('settings are not valid', {
      props: { faults: [{ path: '', message: 'must be a mapping' }] },
    });
  }
  const root = document as Record<string, unknown>;
  for (const text of overrides) applyOverride(root, text);
  return parseOrThrow(schema, root, file ?? 'settings');
}
