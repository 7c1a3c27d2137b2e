/**
 * Checks that the files, folders, npm scripts, metrics and commands named in the documentation exist. Historical pages
 * (docs/incidents, docs/rounds) describe older code and are excluded.
 */
import { expect } from 'chai';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

const ROOT_PAGES = ['README.md', 'DEVELOPERS.md'];
const DOCS_FOLDER = 'docs';
const ACCOUNTS = /^docs\/(incidents|rounds)\//;
const SOURCE_FOLDERS = ['src', 'lab', 'platform'];
/** Recorded metrics of every program; test/pins/metrics.test.ts compares them with live scrapes. */
const FIXTURES = 'test/fixtures';
/** Recorded text of every log call in the sources. */
const LOG_LINES = 'test/fixtures/log-lines.txt';
const METRIC_LIST = /metrics-\w+\.txt$/;

const PATH_PATTERN =
  /(?<![\w./-])((?:src|test|lab|bench|docs|deploy|platform|journal)\/[\w./*{},-]*[\w/*}])/g;
/** A reference to a source module: `folder/module.ts`. */
const MODULE_PATTERN = /`((?!(?:src|test|lab|bench|platform)\/)[a-z]+\/[a-z-]+\.ts)`/g;
const SCRIPT_PATTERN = /npm run ([\w:]+)/g;
const METRIC_PATTERN = /shoredoor_[a-z_]*[a-z](?![a-z_*])/g;
const COMMAND_PATTERN = /(?:^|`)shoredoor(-lab)? ([a-z][a-z-]+)/gm;

/** A quoted log line: the logger's prefix and the message. */
const LOG_LINE_PATTERN = /`[a-z]+: ([A-Z][^`]*[.:])(?: [^`]*)?`/g;

/** Suffixes that prom-client appends to a histogram's name. */
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

/** All matches of a pattern in the pages: `PAGE: NAME` by name. */
function found(pattern: RegExp, group: number): Map<string, string> {
  const names = new Map<string, string>();
  for (const { name, text } of pages()) {
    for (const match of text.matchAll(pattern)) {
      names.set(match[group]!.replace(/\s+/g, ' '), name);
    }
  }
  return names;
}

/** Placeholders in capitals, to be replaced by the reader. */
const PLACEHOLDER = /(FILE|NAME|SCENARIO|FOLDER|X)(\.\w+)?$/;

/** A path may end in a placeholder, contain the globs `*` or `{a,b}`, or omit a module's file extension. */
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
