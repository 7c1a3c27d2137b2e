import { readFileSync } from 'node:fs';

const packageFile = new URL('../../../package.json', import.meta.url);

/** Version of this package, from package.json. */
export const VERSION = (JSON.parse(readFileSync(packageFile, 'utf8')) as { version: string })
  .version;
