/**
 * Holds that what the pages name exists: files and folders, npm scripts, metrics, commands of the two programs. Accounts
 * of what was done at a time (docs/incidents, docs/rounds) speak of the code of that time and are left out.
 */
import { expect } from 'chai';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

const ROOT_PAGES = ['README.md', 'DEVELOPERS.md'];
const DOCS_FOLDER = 'docs';
const ACCOUNTS = /^docs\/(incidents|rounds)\//;
const SOURCE_FOLDERS = ['src', 'lab', 'platform'];
/** Recorded scrapes of every program, which tests compare with the programs themselves. */
const FIXTURES = 'test/fixtures';
/** Every log call of the sources, with its text. */
const LOG_LINES = 'test/fixtures/log-lines.txt';
const METRIC_LIST = /metrics-\w+\.txt$/;

const PATH_PATTERN =
  /(?<![\w./-])((?:src|test|lab|bench|docs|deploy|platform|journal)\/[\w./*{},-]*[\w/*}])/g;
/** A module as the pages on the sources name it: `folder/module.ts`. */
const MODULE_PATTERN = /`((?!(?:src|test|lab|bench|platform)\/)[a-z]+\/[a-z-]+\.ts)`/g;
const SCRIPT_PATTERN = /npm run ([\w:]+)/g;
const METRIC_PATTERN = /shoredoor_[a-z_]*[a-z](?![a-z_*])/g;
const COMMAND_PATTERN = /(?:^|`)shoredoor(-lab)? ([a-z][a-z-]+)/gm;

/** A log line as the pages quote it: prefix of its part, and its text. */
const LOG_LINE_PATTERN = /`[a-z]+: ([A-Z][^`]*[.:])(?: [^`]*)?`/g;

/** Suffixes that prom-client adds to the name of a histogram. */
const HISTOGRAM_SUFFIX = /_(bucket|sum|count)$/;

interface Page {
  readonly name: string;
  readonly text: string;
}

function filesBelow(folder: string, ending: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith(ending))
    .map((name) => join(folder, name));
}

function pages(): Page[] {
  const names = [...ROOT_PAGES, ...filesBelow(DOCS_FOLDER, '.md')];
  return names
    .filter((name) => !ACCOUNTS.test(name))
    .map((name) => ({ name, text: readFileSync(name, 'utf8') }));
}

/** What a pattern finds in the pages, as `PAGE: NAME` by name. */
function found(pattern: RegExp, group: number): Map<string, string> {
  const names = new Map<string, string>();
  for (const { name, text } of pages()) {
    for (const match of text.matchAll(pattern)) {
      names.set(match[group]!.replace(/\s+/g, ' '), name);
    }
  }
  return names;
}

/** Words in capitals that stand for a name that the reader puts in. */
const PLACEHOLDER = /(FILE|NAME|SCENARIO|FOLDER|X)(\.\w+)?$/;

/** A path may end in a placeholder, stand for several by `*` or `{a,b}`, or name a module without its ending. */
function exists(path: string): boolean {
  const fixed = path.replace(/[*{].*$/, '').replace(PLACEHOLDER, '');
  if (fixed !== path) return existsSync(fixed.replace(/[^/]*$/, ''));
  return existsSync(path) || existsSync(`${path}.ts`);
}

function missing(names: Map<string, string>, isKnown: (name: string) => boolean): string[] {
  return [...names].filter(([name]) => !isKnown(name)).map(([name, page]) => `${page}: ${name}`);
}

describe('the pages', () => {
  const sources = SOURCE_FOLDERS.flatMap((folder) => filesBelow(folder, '.ts')).map((file) =>
    readFileSync(file, 'utf8'),
  );
  const source = sources.join('\n');
  const lists = filesBelow(FIXTURES, '.txt').filter((file) => METRIC_LIST.test(file));
  const metrics = new Set(
    lists.flatMap((file) => readFileSync(file, 'utf8').match(METRIC_PATTERN) ?? []),
  );

  it('name files and folders that exist', () => {
    expect(missing(found(PATH_PATTERN, 1), exists)).to.deep.equal([]);
  });

  it('name modules that exist, where they leave out the folder of the sources', () => {
    const isKnown = (name: string): boolean => existsSync(join('src', name));
    expect(missing(found(MODULE_PATTERN, 1), isKnown)).to.deep.equal([]);
  });

  it('name npm scripts that exist', () => {
    const { scripts } = JSON.parse(readFileSync('package.json', 'utf8')) as {
      scripts: Record<string, string>;
    };
    const names = found(SCRIPT_PATTERN, 1);
    expect(missing(names, (name) => scripts[name] !== undefined)).to.deep.equal([]);
  });

  it('name metrics that exist', () => {
    const names = found(METRIC_PATTERN, 0);
    const isKnown = (name: string): boolean =>
      metrics.has(name) || metrics.has(name.replace(HISTOGRAM_SUFFIX, ''));
    expect(missing(names, isKnown)).to.deep.equal([]);
  });

  it('quote log lines that exist', () => {
    const lines = readFileSync(LOG_LINES, 'utf8');
    const names = found(LOG_LINE_PATTERN, 1);
    expect(missing(names, (name) => lines.includes(name))).to.deep.equal([]);
  });

  it('name commands that exist', () => {
    const names = found(COMMAND_PATTERN, 2);
    expect(missing(names, (name) => source.includes(`'${name}`))).to.deep.equal([]);
  });
});
