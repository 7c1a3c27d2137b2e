/** Prints command results to standard output as JSON or as a table. */

/** Values of `--output`. */
export const OUTPUT_FORMATS = ['table', 'json'] as const;
export type OutputFormat = (typeof OUTPUT_FORMATS)[number];

/** A table with column headings and rows of cells. */
export interface Table {
  readonly columns: readonly string[];
  readonly rows: readonly (readonly string[])[];
}

/** Formats a table, padding the cells of each column to the same width. */
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

/** Prints `value` as JSON, or the result of `table` as text. */
export function printResult(format: OutputFormat, value: unknown, table: () => Table): void {
  const text = format === 'json' ? JSON.stringify(value, null, 2) : formatTable(table());
  process.stdout.write(`${text}\n`);
}
