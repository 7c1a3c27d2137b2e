/** Reads the part of TOML that the files of `deploy/` use: tables, and keys whose value is JSON as well. */

/** The entries of each table by its name; those before the first stand under an empty name. */
export type TomlTables = Record<string, Record<string, unknown>>;

/** @throws Error for a line that is none of those */
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
