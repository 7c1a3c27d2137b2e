/** Pins the reasons of refusals, the verdicts, and the headers documented in docs/reference/headers.md. */
import { expect } from 'chai';
import { readFileSync } from 'node:fs';
import {
  CONTEXT_HEADER,
  DEADLINE_HEADER,
  formatContext,
  LINK_HEADER,
  OUTCOME_HEADER,
  parseContext,
  REQUEST_ID_HEADER,
  VERDICT_HEADER,
} from '../../src/call/call-context.js';
import { CrashNote, formatOutcome, parseOutcome } from '../../src/call/outcome.js';
import { isRefusalReason, toProblemDetails, type RefusalReason } from '../../src/call/refusal.js';
import { isVerdict } from '../../src/common/verdict.js';
import { MESSAGE_HEADER } from '../../src/http/claim-transport.js';
import { DEFAULT_TARGET_HEADERS, type TargetHeaders } from '../../src/http/target-headers.js';

/** Title, and the statuses for the verdicts `not-run`, `may-have-run` and `ran`. */
const REASONS: Readonly<Record<RefusalReason, [title: string, ...statuses: number[]]>> = {
  overload: ['Overloaded', 503, 502, 502],
  'retry-budget': ['Too many retries', 503, 502, 502],
  deadline: ['Deadline exceeded', 503, 504, 504],
  leaving: ['Leaving', 503, 502, 502],
  unavailable: ['No target available', 503, 502, 502],
  unreachable: ['Target unreachable', 503, 502, 502],
  'broken-answer': ['Answer broke off', 503, 502, 502],
  duplicate: ['Request already accepted', 409, 409, 409],
  'duplicate-unknown': ['Earlier requests not known', 503, 502, 502],
  'unknown-kind': ['Unknown kind of request', 404, 404, 404],
  'unknown-group': ['Unknown caller', 401, 401, 401],
  'unknown-service': ['Unknown service', 404, 404, 404],
  'bad-request': ['Bad request', 400, 400, 400],
  'too-large': ['Request body too large', 413, 413, 413],
  'request-timeout': ['Request body too slow', 408, 502, 502],
  'not-ready': ['Not ready', 503, 502, 502],
  'stale-configuration': ['Configuration may be old', 503, 502, 502],
  'rate-limited': ['Rate limit of the group reached', 429, 429, 429],
  'target-rate-limit': ['Rate limit of the target reached', 503, 502, 502],
  'target-slowed': ['Target slowed down', 503, 502, 502],
  quarantined: ['Request kept from targets', 503, 502, 502],
};

const VERDICTS = ['not-run', 'may-have-run', 'ran'] as const;

describe('a refusal', () => {
  for (const [reason, [title, ...statuses]] of Object.entries(REASONS)) {
    it(`for ${reason} has these details and statuses`, () => {
      VERDICTS.forEach((verdict, index) => {
        const refusal = { verdict, retryAfterSeconds: 0, detail: 'Why.' };
        const details = toProblemDetails({ ...refusal, reason: reason as RefusalReason }, 'q-1');
        expect(details).to.deep.equal({
          type: `urn:shoredoor:problem:${reason}`,
          title,
          status: statuses[index],
          detail: 'Why.',
          verdict,
          requestId: 'q-1',
        });
      });
      expect(isRefusalReason(reason)).to.equal(true);
    });
  }

  it('has no other reasons or verdicts than these words', () => {
    expect(isRefusalReason('broken')).to.equal(false);
    expect(isRefusalReason(undefined)).to.equal(false);
    expect(VERDICTS.every(isVerdict)).to.equal(true);
    expect(isVerdict('run')).to.equal(false);
  });
});

describe('headers', () => {
  const page = readFileSync('docs/reference/headers.md', 'utf8');

  it('between the processes and to callers have these names', () => {
    expect({
      context: CONTEXT_HEADER,
      link: LINK_HEADER,
      deadline: DEADLINE_HEADER,
      outcome: OUTCOME_HEADER,
      verdict: VERDICT_HEADER,
      requestId: REQUEST_ID_HEADER,
      message: MESSAGE_HEADER,
    }).to.deep.equal({
      context: 'shoredoor-context',
      link: 'shoredoor-link',
      deadline: 'shoredoor-deadline-ms',
      outcome: 'shoredoor-outcome',
      verdict: 'shoredoor-verdict',
      requestId: 'shoredoor-request-id',
      message: 'shoredoor-message',
    });
  });

  it('between a sidecar, its clients and its target have these names by default', () => {
    const names: TargetHeaders = {
      requestId: 'x-request-id',
      deadlineMs: 'x-request-timeout-ms',
      expectedInstance: 'x-target-instance',
      callingService: 'x-caller-service',
      notExecuted: 'x-request-rejected',
      instanceId: 'x-answering-instance',
      load: 'x-load',
      rateLimit: 'x-rate-limit-per-second',
      leaving: 'x-target-leaving',
      apiKey: 'x-api-key',
      group: 'x-caller-group',
    };
    expect(DEFAULT_TARGET_HEADERS).to.deep.equal(names);
  });

  it('are named by the reference', () => {
    for (const name of [
      'X-API-Key',
      'X-Caller-Group',
      'Authorization: Bearer KEY',
      'Idempotency-Key',
      'Prefer: wait=N',
      'shoredoor-verdict',
      'shoredoor-request-id',
      'Retry-After',
      'traceparent',
      'shoredoor-deadline-ms',
      'shoredoor-link',
      'shoredoor-context',
      'shoredoor-outcome',
      'shoredoor-message',
      'not-run',
      'may-have-run',
      'ran',
    ]) {
      expect(page).to.include(`\`${name}\``);
    }
  });

  it('carry the context of a call in this form', () => {
    const context = {
      requestId: '0123456789abcdef0123456789abcdef',
      group: 'shops',
      kind: 'read',
      importance: 2 as const,
      deadlineAt: 5_000,
      retries: 2,
      service: 'ledger',
      waitUntil: 1_250,
    };
    const text = formatContext(context, 1_000);
    expect(text).to.equal(
      'group=shops, kind=read, importance=2, deadline=4000, retries=2, service=ledger, wait=250',
    );
    expect(parseContext(text, context.requestId, 1_000)).to.deep.equal(context);
  });

  it('carry the outcome of a call in this form', () => {
    const text = 'verdict=not-run, unspent=2, refusal=overload, overloaded=1, in-flight=7, limit=8';
    const outcome = {
      verdict: 'not-run' as const,
      refusal: 'overload' as const,
      overloaded: true,
      unspentRetries: 2,
      load: { inFlight: 7, limit: 8 },
    };
    expect(formatOutcome(outcome)).to.equal(text);
    expect(parseOutcome(text)).to.deep.equal(outcome);
  });
});

describe('what a gate says of crashes', () => {
  it('is one of these words', () => {
    const notes = [CrashNote.TargetDown, CrashNote.Suspect, CrashNote.Quarantined];
    expect(notes.map(String)).to.deep.equal(['target-down', 'suspect', 'quarantined']);
  });
});
