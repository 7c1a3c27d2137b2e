/**
 * The HTTP API by which a target registers with the sidecar on its machine: `PUT /v1/instances/{id}` reports its state
 * periodically, `DELETE /v1/instances/{id}` deregisters it. {@link TargetLease} handles late reports.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { z } from 'zod';
import { readJsonBody } from '../http/api-request.js';
import { apiProblem } from '../http/api-problem.js';
import { writeJson, writeProblem } from '../http/api-response.js';
import { faultsOf } from '../common/validate.js';
import type { Logger } from '../common/logger.js';
import { isAddressAndPort } from '../common/network-address.js';
import type { TargetLease } from './target-lease.js';

const INSTANCE_PATH = /^\/v1\/instances\/([^/?]+)$/;
/** Maximum size of a report, in bytes. */
const MAX_BODY_BYTES = 16 * 1024;

/** Start time of the target, in milliseconds since 1970. */
const bornSchema = z.number().int().min(0);
const reportSchema = z.looseObject({
  service: z.string().min(1).max(200),
  address: z.string().refine(isAddressAndPort, 'must be ADDRESS:PORT'),
  slots: z.number().int().min(1),
  state: z.enum(['ready', 'leaving']),
  sequence: z.number().int().min(0),
  coldRemainingMs: z.number().min(0).default(0),
  born: bornSchema.optional(),
  zone: z.string().optional(),
  version: z.string().optional(),
});
/** The optional body of a `DELETE` request. */
const leaveSchema = z.looseObject({ born: bornSchema.optional() });

/** Request handler of the registration API. */
export class RegistrationApi {
  constructor(
    private readonly lease: TargetLease,
    private readonly logger: Logger,
    /** Whether a service of this name is declared; reports for other services are rejected. */
    private readonly isKnownService: (service: string) => boolean = () => true,
  ) {}

  readonly handle = (message: IncomingMessage, response: ServerResponse): void => {
    const instance = INSTANCE_PATH.exec(message.url ?? '')?.[1];
    if (instance === undefined) {
      writeProblem(response, apiProblem('not-found', 'There is nothing at this path.'));
    } else if (message.method === 'PUT') void this.report(message, response, instance);
    else if (message.method === 'DELETE') void this.leave(message, response, instance);
    else writeProblem(response, apiProblem('method-not-allowed', 'Allowed here: PUT, DELETE.'));
  };

  private async report(
    message: IncomingMessage,
    response: ServerResponse,
    instance: string,
  ): Promise<void> {
    const body = await readJsonBody(message, MAX_BODY_BYTES);
    if (body.type === 'problem') {
      writeProblem(response, body.problem);
      return;
    }
    const faults = faultsOf(reportSchema, body.value);
    if (faults.length > 0) {
      writeProblem(response, apiProblem('invalid', 'The report is not valid.', { faults }));
      return;
    }
    const { service, address, slots, state, sequence, coldRemainingMs, born } = reportSchema.parse(
      body.value,
    );
    if (!this.isKnownService(service)) {
      this.logger.warn('Rejected a report for a service that is not declared.', {
        instance,
        service,
      });
      writeProblem(response, apiProblem('invalid', 'No service of this name is declared.'));
      return;
    }
    const report = { instance, born, service, address, slots, state, sequence, coldRemainingMs };
    this.lease.onReport(report);
    if (state === 'leaving')
      this.logger.info('The target reported that it is leaving.', { ...report });
    writeJson(response, 200, {});
  }

  private async leave(
    message: IncomingMessage,
    response: ServerResponse,
    instance: string,
  ): Promise<void> {
    // The body is optional.
    const parsed = leaveSchema.safeParse(hasBody(message) ? await this.readBody(message) : {});
    if (!parsed.success) {
      writeProblem(response, apiProblem('invalid', 'The leave is not valid.'));
      return;
    }
    const leaving = { instance, born: parsed.data.born };
    this.lease.onLeave(leaving);
    this.logger.info('The target deregistered.', leaving);
    writeJson(response, 200, {});
  }

  /** Returns the parsed body; undefined if it is invalid. */
  private async readBody(message: IncomingMessage): Promise<unknown> {
    const body = await readJsonBody(message, MAX_BODY_BYTES);
    return body.type === 'value' ? body.value : undefined;
  }
}

function hasBody({ headers }: IncomingMessage): boolean {
  const { 'content-length': length = '0', 'transfer-encoding': encoding } = headers;
  return encoding !== undefined || length !== '0';
}
