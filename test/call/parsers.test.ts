import { expect } from 'chai';
import fc from 'fast-check';
import { formatContext, parseContext, type CallContext } from '../../src/call/call-context.js';
import { formatOutcome, parseOutcome, type Outcome } from '../../src/call/outcome.js';
import { requestPath, waitPreferenceMs } from '../../src/call/request-target.js';
import { parseTraceParent } from '../../src/call/trace-parent.js';
import { filterEndToEndHeaders } from '../../src/http/header-filter.js';
import type { Importance } from '../../src/policy/importance.js';
import { parseResource, resourceFaults } from '../../src/policy/resource-schema.js';

const name = fc.stringMatching(/^[a-z][a-z0-9-]{0,62}$/);
const REQUEST_ID = '0'.repeat(31) + '1';

describe('parsers of what comes over the network', () => {
  it('read back a context as it was written', () => {
    fc.assert(
      fc.property(
        name,
        name,
        fc.integer({ min: 0, max: 3 }),
        fc.nat(600_000),
        fc.nat(10),
        (group, kind, importance, remainingMs, retries) => {
          const context: CallContext = {
            requestId: REQUEST_ID,
            group,
            kind,
            importance: importance as Importance,
            deadlineAt: 1_000 + remainingMs,
            retries,
          };
          expect(parseContext(formatContext(context, 1_000), REQUEST_ID, 1_000)).to.deep.equal(
            context,
          );
        },
      ),
    );
  });

  it('read back an outcome as it was written', () => {
    fc.assert(
      fc.property(fc.boolean(), fc.nat(10), fc.nat(1_000), (overloaded, unspentRetries, limit) => {
        const outcome: Outcome = {
          verdict: 'may-have-run',
          refusal: 'deadline',
          overloaded,
          unspentRetries,
          load: { inFlight: 3, limit },
        };
        expect(parseOutcome(formatOutcome(outcome))).to.deep.equal(outcome);
      }),
    );
  });

  it('never throw, and never take a foreign text for more than it is', () => {
    fc.assert(
      fc.property(fc.string(), (text) => {
        const context = parseContext(text, REQUEST_ID, 0);
        if (context !== undefined) expect(context.importance).to.be.within(0, 3);
        const outcome = parseOutcome(text);
        if (outcome !== undefined) expect(outcome.unspentRetries).to.be.at.least(0);
        const trace = parseTraceParent(text);
        if (trace !== undefined) expect(trace.traceId).to.match(/^[0-9a-f]{32}$/);
        const waitMs = waitPreferenceMs(text);
        if (waitMs !== undefined) expect(waitMs).to.be.at.least(0);
        const path = requestPath(text);
        if (path !== undefined) expect(path).to.not.include('/../');
      }),
      { numRuns: 2_000 },
    );
  });

  it("never pass on hop-by-hop or shoredoor's own headers", () => {
    const headerName = fc.constantFrom(
      'Connection',
      'Transfer-Encoding',
      'SHOREDOOR-Context',
      'shoredoor-link',
      'X-Any',
      'TE',
      'Listed',
    );
    fc.assert(
      fc.property(fc.array(fc.tuple(headerName, fc.string())), (headers) => {
        const kept = filterEndToEndHeaders(headers.flat(), 'close, listed', new Set());
        const names = kept.filter((_, index) => index % 2 === 0);
        expect(names.every((kept) => kept === 'X-Any')).to.equal(true);
      }),
    );
  });

  it('find the faults of any value as a resource, or parse it', () => {
    fc.assert(
      fc.property(fc.jsonValue(), (value) => {
        if (resourceFaults(value).length > 0) return;
        expect(parseResource(value)).to.have.property('kind');
      }),
    );
  });

  it('name every fault of a policy with its path', () => {
    const faults = resourceFaults({
      kind: 'Policy',
      name: 'Bad Name',
      spec: { groups: [{ name: 'a', share: 0 }], kinds: [], retry: {}, extra: 1 },
    });
    const paths = faults.map((fault) => fault.path);
    expect(paths).to.include.members(['name', 'spec.groups[0].share', 'spec.kinds']);
  });
});
