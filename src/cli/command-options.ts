/** Options that several commands share. Flags take precedence over environment variables. */
import { readFileSync } from 'node:fs';
import { UsageError } from '../common/errors.js';
import { ResourceClient } from '../client/resource-client.js';
import { OUTPUT_FORMATS, type OutputFormat } from './output.js';

/** Options of the commands that talk to control. */
export interface OperatorOptions {
  readonly control?: string;
  readonly tokenFile?: string;
  readonly output?: string;
}

/** Options of commands that read declarations. */
export interface FileOptions extends OperatorOptions {
  readonly file?: string;
}

/** Environment variable used if `--control` is not given. */
export const CONTROL_VARIABLE = 'SHOREDOOR_CONTROL';
/** Environment variable with the access token, used if `--token-file` is not given. */
export const TOKEN_VARIABLE = 'SHOREDOOR_TOKEN';

/** Creates a client with the replicas and the token from the options or the environment. */
export function createClient(options: OperatorOptions): ResourceClient {
  const control = options.control ?? process.env[CONTROL_VARIABLE];
  if (control === undefined || control === '') {
    throw new UsageError(`--control or ${CONTROL_VARIABLE} must name at least one replica`);
  }
  const origins = control.split(',').map((origin) => origin.trim().replace(/\/$/, ''));
  return new ResourceClient({ origins, token: readToken(options) });
}

function readToken(options: OperatorOptions): string {
  if (options.tokenFile !== undefined) {
    try {
      return readFileSync(options.tokenFile, 'utf8').trim();
    } catch (error) {
      throw new UsageError(`--token-file cannot be read: ${String(error)}`);
    }
  }
  const token = process.env[TOKEN_VARIABLE];
  if (token === undefined || token === '') {
    throw new UsageError(`--token-file or ${TOKEN_VARIABLE} must give the access token`);
  }
  return token;
}

/** Returns the output format; throws a UsageError if it is unknown. */
export function readOutputFormat(options: OperatorOptions): OutputFormat {
  const requested = options.output ?? 'table';
  const format = OUTPUT_FORMATS.find((candidate) => candidate === requested);
  if (format === undefined) {
    throw new UsageError(`--output must be one of: ${OUTPUT_FORMATS.join(', ')}`);
  }
  return format;
}
