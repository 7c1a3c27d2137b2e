import { expect } from 'chai';
import {
  RateLimitTracker,
  type AnnouncedRateLimit,
} from '../../src/admission/announced-rate-limit.js';

const NONE: AnnouncedRateLimit = { type: 'none' };

function limited(perSecond: number): AnnouncedRateLimit {
  return { type: 'limited', perSecond };
}

describe('the rate limit that a target announces', () => {
  let tracker: RateLimitTracker;

  beforeEach(() => {
    tracker = new RateLimitTracker();
  });

  it('is reported once for each change', () => {
    expect(tracker.onAnswer(NONE, 0)).to.equal(undefined);
    expect(tracker.onAnswer(limited(5), 1)).to.deep.equal({ type: 'announced', perSecond: 5 });
    expect(tracker.onAnswer(limited(5), 2)).to.equal(undefined);
    const changed = { type: 'changed', perSecond: 2, before: 5 };
    expect(tracker.onAnswer(limited(2), 3)).to.deep.equal(changed);
    expect(tracker.onAnswer(NONE, 4)).to.deep.equal({ type: 'lifted', before: 2 });
    expect(tracker.perSecond).to.equal(undefined);
  });

  it('is neither lifted nor restored by an answer to an earlier request', () => {
    tracker.onAnswer(limited(5), 100);
    tracker.onAnswer(NONE, 50);
    expect(tracker.perSecond).to.equal(5);
    tracker.onAnswer(NONE, 150);
    tracker.onAnswer(limited(5), 120);
    expect(tracker.perSecond).to.equal(undefined);
  });

  it('is kept when it is announced in a malformed way, with one warning', () => {
    tracker.onAnswer(limited(5), 0);
    const change = { type: 'malformed', text: 'five', perSecond: 5 };
    expect(tracker.onAnswer({ type: 'malformed', text: 'five' }, 1)).to.deep.equal(change);
    expect(tracker.onAnswer({ type: 'malformed', text: 'five' }, 2)).to.equal(undefined);
    expect(tracker.perSecond).to.equal(5);
  });

  it('is low when the first one is malformed', () => {
    tracker.onAnswer({ type: 'malformed', text: '' }, 0);
    expect(tracker.perSecond).to.equal(1);
  });
});
