/**
 * Tracks the rate limit that one incarnation of a target announces in its answers. Answers may overtake each other: only an
 * answer to a request sent no earlier than that of the latest answer can change the limit. An answer without an announcement
 * lifts the limit; silence does not. Pure: times are passed in.
 */

/** The rate limit in one answer. */
export type AnnouncedRateLimit =
  | { readonly type: 'none' }
  /** @param perSecond requests a second, 0 or more */
  | { readonly type: 'limited'; readonly perSecond: number }
  /** The header is present, but its value is not a rate. */
  | { readonly type: 'malformed'; readonly text: string };

/** What an answer changed. */
export type RateLimitChange =
  | { readonly type: 'announced'; readonly perSecond: number }
  | { readonly type: 'changed'; readonly perSecond: number; readonly before: number }
  | { readonly type: 'lifted'; readonly before: number }
  /** @param perSecond limit that applies all the same */
  | { readonly type: 'malformed'; readonly text: string; readonly perSecond: number };

/** Limit of a target that announces one in a malformed way before any other, in requests a second. */
const MALFORMED_LIMIT_PER_SECOND = 1;

export class RateLimitTracker {
  private limit: number | undefined;
  private latestSentAt = -Infinity;
  private malformedText: string | undefined;

  /** The limit in requests a second; undefined if the target has none, or has not answered yet. */
  get perSecond(): number | undefined {
    return this.limit;
  }

  /**
   * Records an answer.
   * @param sentAt when its request was sent, in monotonic milliseconds
   * @returns what has changed; undefined if nothing has
   */
  onAnswer(announced: AnnouncedRateLimit, sentAt: number): RateLimitChange | undefined {
    if (sentAt < this.latestSentAt) return undefined;
    this.latestSentAt = sentAt;
    return this.apply(announced);
  }

  private apply(announced: AnnouncedRateLimit): RateLimitChange | undefined {
    const before = this.limit;
    if (announced.type === 'malformed') return this.applyMalformed(announced.text);
    this.malformedText = undefined;
    this.limit = announced.type === 'limited' ? announced.perSecond : undefined;
    if (this.limit === before) return undefined;
    if (this.limit === undefined) return { type: 'lifted', before: before! };
    if (before === undefined) return { type: 'announced', perSecond: this.limit };
    return { type: 'changed', perSecond: this.limit, before };
  }

  /** Keeps the limit in force. Without one, the target still needs a limit, so a low one applies. */
  private applyMalformed(text: string): RateLimitChange | undefined {
    this.limit ??= MALFORMED_LIMIT_PER_SECOND;
    if (this.malformedText === text) return undefined;
    this.malformedText = text;
    return { type: 'malformed', text, perSecond: this.limit };
  }
}
