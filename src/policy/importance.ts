/** How important a kind of request is. Declared by operators, ordered from least to most. */

/** The names operators use, from the first refused to the last refused. */
export const IMPORTANCE_NAMES = ['low', 'normal', 'high', 'critical'] as const;

/** A declared importance. */
export type ImportanceName = (typeof IMPORTANCE_NAMES)[number];

/** Importance as compared at run time: 0 (`low`) to 3 (`critical`). */
export type Importance = 0 | 1 | 2 | 3;

/** The least importance. Calls without a trusted context get it. */
export const LOWEST_IMPORTANCE: Importance = 0;

/** The last to be refused. */
export const HIGHEST_IMPORTANCE: Importance = 3;

/** Number of importance levels. */
export const IMPORTANCE_COUNT = IMPORTANCE_NAMES.length;

/** The run-time value of a declared importance. */
export function importanceFromName(name: ImportanceName): Importance {
  return IMPORTANCE_NAMES.indexOf(name) as Importance;
}

/** The importance that `text` encodes as one digit, or undefined. */
export function parseImportance(text: string): Importance | undefined {
  if (!/^[0-3]$/.test(text)) return undefined;
  return Number(text) as Importance;
}
