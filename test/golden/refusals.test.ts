/**
 * Pins the Problem Details of refusals (problems.txt), their statuses and headers. Callers and operators'
 * tools parse them, so reasons, types, statuses and headers keep their meaning.
 */
import { expect } from 'chai';
import { readFileSync } from 'node:fs';
import { OUTCOME_HEADER } from '../../src/call/call-context.js';
import { formatOutcome, notStartedOutcome } from '../../src/call/outcome.js';
import {
  isRefusalReason,
  refusalStatus,
  toProblemDetails,
  type Refusal,
} from '../../src/call/refusal.js';
import { writeRefusal } from '../../src/http/caller-response.js';
import { Cleanup, startTarget } from '../support/processes.js';
import { REFUSAL_REASONS, VERDICTS } from './outcome-values.js';
import { post } from './wire-exchange.js';

const REQUEST_ID = '4f2a9c01d3e85b7746a0c1d2e3f40516';

describe('golden refusals', () => {
  const REFUSAL: Required<Refusal> = {
    reason: 'overload',
    verdict: 'not-run',
    retryAfterSeconds: 2,
    detail: 'The service is overloaded.',
  };

  const cleanup = new Cleanup();

  afterEach(() => cleanup.run());

  it('have the golden status, type and title for each reason and verdict', () => {
    const lines = REFUSAL_REASONS.flatMap((reason) => {
      expect(isRefusalReason(reason), reason).to.equal(true);
      return VERDICTS.map((verdict) => {
        const refusal = { ...REFUSAL, reason, verdict };
        const { type, title, status } = toProblemDetails(refusal, REQUEST_ID);
        expect(refusalStatus(refusal)).to.equal(status);
        return `${reason} | ${verdict} | ${status} | ${type} | ${title}`;
      });
    });
    const golden = readFileSync('test/golden/problems.txt', 'utf8')
      .split('\n')
      .filter((line) => line !== '' && !line.startsWith('#'));
    expect(lines).to.have.members(golden);
  });

  it('leave as Problem Details with verdict, request id and time to wait', async () => {
    const outcome = formatOutcome(notStartedOutcome('overload', 1));
    const origin = await startTarget(cleanup, (_message, response) => {
      writeRefusal(response, REFUSAL, REQUEST_ID, [OUTCOME_HEADER, outcome]);
    });
    const { status, headers, body } = await post(origin, '/', {}, Buffer.alloc(0));
    expect(status).to.equal(503);
    expect(headers).to.deep.equal([
      'Content-Type: application/problem+json',
      'shoredoor-verdict: not-run',
      'shoredoor-request-id: 4f2a9c01d3e85b7746a0c1d2e3f40516',
      'Retry-After: 2',
      'shoredoor-outcome: verdict=not-run, unspent=1, refusal=overload',
    ]);
    expect(body.toString()).to.equal(
      '{"type":"urn:shoredoor:problem:overload","title":"Overloaded","status":503,' +
        '"detail":"The service is overloaded.","verdict":"not-run",' +
        '"requestId":"4f2a9c01d3e85b7746a0c1d2e3f40516"}',
    );
  });

  it('name no time to wait where trying again does not help', async () => {
    const refusal: Refusal = { ...REFUSAL, reason: 'duplicate', retryAfterSeconds: 0 };
    const origin = await startTarget(cleanup, (_message, response) => {
      writeRefusal(response, refusal, REQUEST_ID);
    });
    const { status, headers } = await post(origin, '/', {}, Buffer.alloc(0));
    expect(status).to.equal(409);
    expect(headers).to.deep.equal([
      'Content-Type: application/problem+json',
      'shoredoor-verdict: not-run',
      'shoredoor-request-id: 4f2a9c01d3e85b7746a0c1d2e3f40516',
    ]);
  });
});
