/** Writes results to standard output as JSON or as a table for people. Relies on nothing; log lines are not written here. */

/** The formats of `--output`. */
export const OUTPUT_FORMATS = ['table', 'json'] as const;
export type OutputFormat = (typeof OUTPUT_FORMATS)[number];

/** A table: a heading for each column, and rows of texts. */
export interface Table {
  readonly columns: readonly string[];
  readonly rows: readonly (readonly string[])[];
}

/** Lays out a table with columns of equal width. */
export function formatTable(table: Table): string {
  const lines = [table.columns, ...table.rows];
  const widths = table.columns.map((_, column) =>
    Math.max(...lines.map((line) => line[column]?.length ?? 0)),
  );
  return lines
    .map((line) =>
      line
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

/** Prints `value` as JSON, or the table made from it. */
export function printResult(format: OutputFormat, value: unknown, table: () => Table): void {
  const text = format === 'json' ? JSON.stringify(value, null, 2) : formatTable(table());
  process.stdout.write(`${text}\n`);
}
