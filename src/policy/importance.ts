/** Importance of a request kind, as operators declare it and as it is compared at run time. */

/** Names in resources, in ascending order: requests of `low` importance are refused first. */
export const IMPORTANCE_NAMES = ['low', 'normal', 'high', 'critical'] as const;

/** Importance as declared in a resource. */
export type ImportanceName = (typeof IMPORTANCE_NAMES)[number];

/** Numeric importance: 0 (`low`) to 3 (`critical`). */
export type Importance = 0 | 1 | 2 | 3;

/** Importance of calls without a trusted context. */
export const LOWEST_IMPORTANCE: Importance = 0;

export const HIGHEST_IMPORTANCE: Importance = 3;

/** Number of importance levels. */
export const IMPORTANCE_COUNT = IMPORTANCE_NAMES.length;

/** Converts a declared importance to its number. */
export function importanceFromName(name: ImportanceName): Importance {
  return IMPORTANCE_NAMES.indexOf(name) as Importance;
}

/** Parses an importance that is encoded as one digit; returns undefined if the text is invalid. */
export function parseImportance(text: string): Importance | undefined {
  if (!/^[0-3]$/.test(text)) return undefined;
  return Number(text) as Importance;
}
