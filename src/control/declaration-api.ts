/**
 * HTTP API `/v1/declarations`, which treats the whole declared set as one resource. `PUT` takes the version that the set is based
 * on in `If-Match` (RFC 9110, section 13.1.1; 0 for the first set); `GET` returns the newest set.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Logger } from '../common/logger.js';
import type { AccessRole, AccessToken, AccessTokens } from './access-tokens.js';
import { apiProblem } from '../http/api-problem.js';
import { readJsonBody } from '../http/api-request.js';
import { writeJson, writeProblem, writeRedirect } from '../http/api-response.js';
import { refusalProblem } from './change-answer.js';
import type { LogRefusal } from './command-log.js';
import type { DeclarationCodec, DeclarationDocument } from './declaration-codec.js';
import type { DeclarationService, DeclareOutcome } from './declaration-service.js';

export const DECLARATIONS_PATH = '/v1/declarations';

export interface DeclarationApiOptions {
  readonly service: DeclarationService;
  readonly codec: DeclarationCodec;
  /** Operator tokens; undefined to accept requests without authentication. */
  readonly tokens: AccessTokens | undefined;
  readonly logger: Logger;
}

const VERSION_TAG = /^"?(\d{1,15})"?$/;
/** Maximum body size in bytes; allows a set of several thousand routes. */
const MAX_BODY_BYTES = 16 * 1024 * 1024;
const ANONYMOUS_OPERATOR: AccessToken = { name: 'operator', role: 'write', tokenHash: '' };

export class DeclarationApi {
  constructor(private readonly options: DeclarationApiOptions) {}

  /** Handles a request whose path is {@link DECLARATIONS_PATH}. */
  async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const { tokens } = this.options;
    const holder =
      tokens === undefined ? ANONYMOUS_OPERATOR : tokens.find(message.headers.authorization);
    const wanted: AccessRole = message.method === 'GET' ? 'read' : 'write';
    if (holder === undefined) {
      writeProblem(response, apiProblem('unauthenticated', 'A known bearer token is needed.'));
    } else if (wanted === 'write' && holder.role !== 'write') {
      writeProblem(response, apiProblem('forbidden', 'The token allows reading only.'));
    } else if (message.method === 'GET') await this.read(response);
    else if (message.method === 'PUT') await this.declare(message, response, holder);
    else writeProblem(response, apiProblem('method-not-allowed', 'Allowed here: GET, PUT.'));
  }

  private async read(response: ServerResponse): Promise<void> {
    const outcome = await this.options.service.read();
    switch (outcome.type) {
      case 'read':
        writeJson(response, 200, this.options.codec.encode(outcome.document), {
          ETag: `"${outcome.document.version}"`,
        });
        return;
      case 'none':
        writeProblem(response, apiProblem('not-found', 'No set was declared yet.'));
        return;
      case 'unsure':
        writeRefusalProblem(response, outcome.refusal);
    }
  }

  private async declare(
    message: IncomingMessage,
    response: ServerResponse,
    holder: AccessToken,
  ): Promise<void> {
    const body = await readJsonBody(message, MAX_BODY_BYTES);
    if (body.type === 'problem') {
      writeProblem(response, body.problem);
      return;
    }
    const document = this.options.codec.decode(body.value);
    const base = VERSION_TAG.exec(message.headers['if-match'] ?? '')?.[1];
    if (document === undefined || base === undefined) {
      const detail =
        document === undefined
          ? 'The body takes a version and a list of resources.'
          : 'If-Match takes the version that the set builds on; 0 for the first.';
      writeProblem(response, apiProblem('invalid', detail));
      return;
    }
    const { service, logger } = this.options;
    const baseVersion = Number(base);
    const outcome = await service.declare(document, baseVersion, holder.name);
    logger.info('A declaration request was answered.', {
      version: document.version,
      baseVersion,
      resources: document.resources.length,
      actor: holder.name,
      ...summaryOf(outcome),
    });
    this.answer(message, response, document, outcome);
  }

  private answer(
    message: IncomingMessage,
    response: ServerResponse,
    document: DeclarationDocument,
    outcome: DeclareOutcome,
  ): void {
    const { version } = document;
    switch (outcome.type) {
      case 'declared':
        writeJson(response, 200, { version, revision: outcome.revision }, { ETag: `"${version}"` });
        return;
      case 'version-conflict': {
        const detail = `Version ${outcome.currentVersion} is current.`;
        writeProblem(response, apiProblem('precondition-failed', detail));
        return;
      }
      case 'invalid': {
        const { faults } = outcome;
        writeProblem(response, apiProblem('invalid', 'The set is not valid.', { faults }));
        return;
      }
      case 'not-leader':
        if (outcome.leaderOrigin === undefined)
          writeRefusalProblem(response, { type: 'no-quorum' });
        else writeRedirect(response, outcome.leaderOrigin + (message.url ?? ''));
        return;
      case 'unknown':
        writeRefusalProblem(response, outcome.refusal);
    }
  }
}

/** Log fields for an outcome. */
function summaryOf(outcome: DeclareOutcome): Record<string, unknown> {
  switch (outcome.type) {
    case 'declared':
      return { result: outcome.type, revision: outcome.revision };
    case 'version-conflict':
      return { result: outcome.type, currentVersion: outcome.currentVersion };
    case 'invalid':
      return { result: outcome.type, fault: outcome.faults[0] };
    case 'not-leader':
      return { result: outcome.type, leader: outcome.leaderOrigin };
    case 'unknown':
      return { result: outcome.type, cause: outcome.refusal.type };
  }
}

/** Writes a refusal with the verdict `may-have-run`: the set may have been proposed before. */
function writeRefusalProblem(response: ServerResponse, refusal: LogRefusal): void {
  writeProblem(response, refusalProblem(refusal, 'may-have-run'));
}
