/** Loads a built-in deployment by name, or a deployment file. */
import { existsSync } from 'node:fs';
import { dirname, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { parseOrThrow } from '../../src/common/validate.js';
import { readYamlFile } from '../../src/settings/load-settings.js';
import { deploymentSchema, type Deployment } from './deployment.js';

/** In the source tree: the build does not copy the deployments and their declarations. */
const BUILT_IN_FOLDER = fileURLToPath(new URL('../../../lab/deployments/', import.meta.url));

/** A deployment and the files that it was loaded from. */
export interface LoadedDeployment {
  readonly deployment: Deployment;
  readonly file: string;
  /** Absolute path of the folder with the declarations. */
  readonly declarations: string;
}

/**
 * Loads a deployment.
 * @param nameOrFile name of a built-in deployment, such as `ratenwerk`, or the path of a file
 * @throws ValidationError listing all invalid fields
 */
export function loadDeployment(nameOrFile: string): LoadedDeployment {
  const builtIn = resolve(BUILT_IN_FOLDER, `${nameOrFile}.yaml`);
  const file = existsSync(builtIn) ? builtIn : resolve(nameOrFile);
  const deployment = parseOrThrow(deploymentSchema, readYamlFile(file), file);
  return { deployment, file, declarations: resolve(dirname(file), deployment.declarations) };
}
