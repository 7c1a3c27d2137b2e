/** Checks the layering of the folders under `src/`: each may import only from the folders listed before it. */
import { expect } from 'chai';
import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join, normalize, sep } from 'node:path';

/** Folders from the lowest layer to the highest. */
const LAYERS = [
  'common',
  'policy',
  'storage',
  'retry',
  'consensus',
  'dedup',
  'call',
  'admission',
  'quota',
  'routing',
  'http',
  'link',
  'membership',
  'quarantine',
  'outbound',
  'ingress',
  'gate',
  'edge',
  'node',
  'sync',
  'client',
  'follower',
  'control',
  'observe',
  'settings',
  'programs',
  'cli',
] as const;

/** Folders that use control only over its API; code shared with control is in `sync` and `policy`. */
const CLIENTS_OF_CONTROL: readonly string[] = ['client', 'follower', 'cli'];

const SOURCE_FOLDER = 'src';
const IMPORT_PATTERN = /(?:from|import\()\s*'(\.[^']+)'/g;

interface FolderImport {
  readonly file: string;
  readonly from: string;
  readonly to: string;
}

function folderOf(path: string): string {
  return path.split(sep)[1] ?? '';
}

function importsOf(file: string): FolderImport[] {
  const text = readFileSync(file, 'utf8');
  return [...text.matchAll(IMPORT_PATTERN)].map(([, specifier = '']) => ({
    file,
    from: folderOf(file),
    to: folderOf(normalize(join(dirname(file), specifier))),
  }));
}

describe('the folders of the sources', () => {
  const files = readdirSync(SOURCE_FOLDER, { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.ts'))
    .map((name) => join(SOURCE_FOLDER, name));

  it('are all in the order of layers', () => {
    const folders = new Set(files.map(folderOf));
    expect([...folders].sort()).to.deep.equal([...LAYERS].sort());
  });

  it('import from lower layers alone', () => {
    const rank = new Map<string, number>(LAYERS.map((name, index) => [name, index]));
    const upward = files
      .flatMap(importsOf)
      .filter(({ from, to }) => from !== to && rank.get(to)! >= rank.get(from)!)
      .map(({ file, to }) => `${file} imports from ${to}`);
    expect(upward).to.deep.equal([]);
  });

  it('reach control through its API alone where they are its clients, and are not reached by it', () => {
    const isCrossing = ({ from, to }: FolderImport): boolean =>
      (to === 'control' && CLIENTS_OF_CONTROL.includes(from)) ||
      (from === 'control' && CLIENTS_OF_CONTROL.includes(to));
    const crossing = files
      .flatMap(importsOf)
      .filter(isCrossing)
      .map(({ file, to }) => `${file} imports from ${to}`);
    expect(crossing).to.deep.equal([]);
  });
});
