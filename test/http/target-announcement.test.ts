import { expect } from 'chai';
import type { AnnouncedRateLimit } from '../../src/admission/announced-rate-limit.js';
import { DEFAULT_TARGET_HEADERS } from '../../src/http/target-headers.js';
import { readAnnouncement } from '../../src/http/target-announcement.js';

const { rateLimit: RATE_LIMIT, leaving: LEAVING } = DEFAULT_TARGET_HEADERS;

function limited(perSecond: number): AnnouncedRateLimit {
  return { type: 'limited', perSecond };
}

function malformed(text: string): AnnouncedRateLimit {
  return { type: 'malformed', text };
}

const RATE_LIMITS: readonly {
  value: string | string[] | undefined;
  expected: AnnouncedRateLimit;
}[] = [
  { value: undefined, expected: { type: 'none' } },
  { value: '5.4', expected: limited(5.4) },
  { value: ' 12 ', expected: limited(12) },
  { value: '0', expected: limited(0) },
  { value: '0.0', expected: limited(0) },
  { value: '1e9', expected: limited(1e9) },
  { value: '7, 3', expected: limited(3) },
  { value: ['7', '3'], expected: limited(3) },
  { value: '', expected: malformed('') },
  { value: '-1', expected: malformed('-1') },
  { value: 'NaN', expected: malformed('NaN') },
  { value: 'Infinity', expected: malformed('Infinity') },
  { value: '1e999', expected: malformed('1e999') },
  { value: '5/s', expected: malformed('5/s') },
  { value: '0x10', expected: malformed('0x10') },
  { value: '7,', expected: malformed('7,') },
];

describe('the announcements of a target', () => {
  for (const { value, expected } of RATE_LIMITS) {
    it(`contain the rate limit ${JSON.stringify(value)}`, () => {
      const headers = value === undefined ? {} : { [RATE_LIMIT]: value };
      expect(readAnnouncement(DEFAULT_TARGET_HEADERS, headers).rateLimit).to.deep.equal(expected);
    });
  }

  it('contain that it is leaving', () => {
    const isLeaving = (value: string): boolean =>
      readAnnouncement(DEFAULT_TARGET_HEADERS, { [LEAVING]: value }).isLeaving;
    expect(isLeaving('1')).to.equal(true);
    expect(isLeaving('0')).to.equal(false);
    expect(isLeaving('')).to.equal(false);
    expect(readAnnouncement(DEFAULT_TARGET_HEADERS, {}).isLeaving).to.equal(false);
  });
});
