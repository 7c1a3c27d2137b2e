/** Parses the TOML subset used in `deploy/`: tables, and keys whose values are also valid JSON. */

/** Entries by table name; entries before the first table have an empty name. */
export type TomlTables = Record<string, Record<string, unknown>>;

/** @throws Error for a line outside the supported subset */
export function readToml(text: string): TomlTables {
  const tables: TomlTables = { '': {} };
  let table = '';
  for (const line of text.split('\n')) {
    const entry = /^("?)(.+?)\1 = (.+)$/.exec(line);
    if (line === '' || line.startsWith('#')) continue;
    if (/^\[.+\]$/.test(line)) {
      table = line.slice(1, -1);
      tables[table] = {};
    } else if (entry !== null) tables[table]![entry[2]!] = JSON.parse(entry[3]!);
    else throw new Error(`not understood: ${line}`);
  }
  return tables;
}
