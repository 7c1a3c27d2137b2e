import { expect } from 'chai';
import type { AnnouncedRateLimit } from '../../src/admission/announced-rate-limit.js';
import { TargetRateLimiter } from '../../src/admission/target-rate-limiter.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { TargetAnnouncements } from '../../src/membership/target-announcements.js';
import { CapturedLines } from '../support/captured-lines.js';

const INFO = 30;
const WARN = 40;

describe('what a target announces in its answers', () => {
  let captured: CapturedLines;
  let announcements: TargetAnnouncements;
  let left: string[];
  let sentAt = 0;

  beforeEach(() => {
    captured = new CapturedLines('sidecar', 'announcements');
    left = [];
    announcements = new TargetAnnouncements(
      new TargetRateLimiter(new VirtualClock()),
      ({ instance }) => left.push(instance),
      captured.logger.part('target'),
    );
    announcements.onTarget({ instance: 'i-1' });
  });

  afterEach(() => captured.end());

  function answer(incarnation: string, rateLimit: AnnouncedRateLimit): void {
    announcements.onAnswer(incarnation, (sentAt += 1), { rateLimit, isLeaving: false });
  }

  it('is logged once for each change of the rate limit', () => {
    answer('i-1', { type: 'limited', perSecond: 5.4 });
    answer('i-1', { type: 'limited', perSecond: 5.4 });
    answer('i-1', { type: 'limited', perSecond: 2 });
    answer('i-1', { type: 'malformed', text: 'x' });
    answer('i-1', { type: 'none' });
    const of = { instance: 'i-1' };
    const announced = { perSecond: 5.4, ...of };
    expect(captured.lines).to.deep.equal([
      { level: INFO, msg: 'target: The target announced a rate limit.', ...announced },
      {
        level: INFO,
        msg: 'target: The target changed its rate limit.',
        perSecond: 2,
        before: 5.4,
        ...of,
      },
      {
        level: WARN,
        msg: 'target: The target announced a malformed rate limit.',
        text: 'x',
        perSecond: 2,
        ...of,
      },
      { level: INFO, msg: 'target: The target lifted its rate limit.', before: 2, ...of },
    ]);
  });

  it('is reported and logged once when it is leaving', () => {
    const leaving = { rateLimit: { type: 'none' }, isLeaving: true } as const;
    announcements.onAnswer('i-0', 1, leaving);
    announcements.onAnswer('i-1', 1, leaving);
    announcements.onAnswer('i-1', 2, leaving);
    expect(left).to.deep.equal(['i-1']);
    expect(captured.lines).to.deep.equal([
      { level: INFO, msg: 'target: The target announced that it is leaving.', instance: 'i-1' },
    ]);
  });

  it('is not lifted by a health check that lacks the limit', () => {
    answer('i-1', { type: 'limited', perSecond: 5 });
    const healthy = { rateLimit: { type: 'none' }, isLeaving: false } as const;
    announcements.onHealthAnswer({ instance: 'i-1' }, (sentAt += 1), healthy);
    expect(announcements.rateLimitPerSecond).to.equal(5);
  });

  it('does not apply to its successor', () => {
    answer('i-1', { type: 'limited', perSecond: 5 });
    announcements.onTarget({ instance: 'i-2' });
    expect(announcements.rateLimitPerSecond).to.equal(undefined);
    answer('i-1', { type: 'limited', perSecond: 5 });
    expect(announcements.rateLimitPerSecond).to.equal(undefined);
  });

  it('still applies when its start time becomes known', () => {
    answer('i-1', { type: 'limited', perSecond: 5 });
    announcements.onTarget({ instance: 'i-1', born: 7 });
    expect(announcements.rateLimitPerSecond).to.equal(5);
    answer('i-1@7', { type: 'limited', perSecond: 4 });
    expect(announcements.rateLimitPerSecond).to.equal(4);
  });
});
