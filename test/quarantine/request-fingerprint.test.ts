import { expect } from 'chai';
import fc from 'fast-check';
import {
  fingerprintOf,
  hasCaller,
  withoutCaller,
  type RequestIdentity,
} from '../../src/quarantine/request-fingerprint.js';

const REQUEST: RequestIdentity = {
  service: 'ledger',
  callingService: 'shop',
  method: 'POST',
  host: 'shop.example',
  path: '/book?plan=1',
  streamedLength: undefined,
  bodyStart: Buffer.from('{"plan":1}'),
};

describe('the fingerprint of a request', () => {
  it('is the same for each time that it comes', () => {
    const copy = { ...REQUEST, bodyStart: Buffer.from('{"plan":1}') };
    expect(fingerprintOf(copy)).to.equal(fingerprintOf(REQUEST));
    expect(fingerprintOf(REQUEST)).to.match(/^[0-9a-f]{20}-[0-9a-f]{8}$/);
  });

  it('is another one for each part that differs', () => {
    const others: Partial<RequestIdentity>[] = [
      { service: 'archive' },
      { callingService: 'till' },
      { method: 'PUT' },
      { host: 'other.example' },
      { path: '/book?plan=2' },
      { bodyStart: Buffer.from('{"plan":2}') },
      { bodyStart: null },
      { streamedLength: '100000' },
    ];
    const all = others.map((other) => fingerprintOf({ ...REQUEST, ...other }));
    expect(new Set([...all, fingerprintOf(REQUEST)]).size).to.equal(others.length + 1);
  });

  it('is the same one for another caller, but for the part of the caller', () => {
    const other = fingerprintOf({ ...REQUEST, callingService: 'till' });
    expect(withoutCaller(other)).to.equal(withoutCaller(fingerprintOf(REQUEST)));
    expect(hasCaller(other)).to.equal(true);
    expect(hasCaller(withoutCaller(other))).to.equal(false);
  });

  it('does not mix parts up', () => {
    const text = fc.string({ maxLength: 6 }).map((each) => each.replaceAll('\n', ''));
    fc.assert(
      fc.property(fc.tuple(text, text), fc.tuple(text, text), ([a, b], [c, d]) => {
        const first = fingerprintOf({ ...REQUEST, host: a, path: b });
        const second = fingerprintOf({ ...REQUEST, host: c, path: d });
        expect(first === second).to.equal(a === c && b === d);
      }),
    );
  });
});
