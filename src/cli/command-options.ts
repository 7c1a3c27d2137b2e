/**
 * Options that several commands share, and how they are read: from flags, and from the environment where there are none.
 * Owns nothing; relies on the client of the resource API.
 */
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

/** Environment variable that stands for `--control`. */
export const CONTROL_VARIABLE = 'SHOREDOOR_CONTROL';
/** Environment variable that holds the access token where no file does. */
export const TOKEN_VARIABLE = 'SHOREDOOR_TOKEN';

/** A client for the replicas and the token that options or environment name. */
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

/** The output format that options ask for. */
export function readOutputFormat(options: OperatorOptions): OutputFormat {
  const requested = options.output ?? 'table';
  const format = OUTPUT_FORMATS.find((candidate) => candidate === requested);
  if (format === undefined) {
    throw new UsageError(`--output must be one of: ${OUTPUT_FORMATS.join(', ')}`);
  }
  return format;
}
