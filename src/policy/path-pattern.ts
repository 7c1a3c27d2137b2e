/**
 * Path patterns of request kinds: literal segments, `{name}` for any one segment, and `**` at the end for any remaining
 * path.
 */

/** Syntax of a path pattern. */
export const PATH_PATTERN_SYNTAX =
  /^\/(?:(?:\{[a-zA-Z][a-zA-Z0-9]*\}|[A-Za-z0-9._~-]+)(?:\/(?:\{[a-zA-Z][a-zA-Z0-9]*\}|[A-Za-z0-9._~-]+))*)?(?:\/?\*\*)?$/;

const SEGMENT_PATTERN = /\{[a-zA-Z][a-zA-Z0-9]*\}/g;
const REST_SUFFIX = '**';

/** A compiled path pattern. */
export class PathPattern {
  private readonly expression: RegExp;
  /** Number of literal characters, plus 0.5 without `**`. Of several matching patterns the highest one applies. */
  readonly specificity: number;

  /** @param pattern a pattern that matches {@link PATH_PATTERN_SYNTAX} */
  constructor(readonly pattern: string) {
    const hasRest = pattern.endsWith(REST_SUFFIX);
    const fixed = hasRest ? pattern.slice(0, -REST_SUFFIX.length) : pattern;
    const literalLength = fixed.replace(SEGMENT_PATTERN, '').length;
    this.specificity = hasRest ? literalLength : literalLength + 0.5;
    const source = fixed
      .split(SEGMENT_PATTERN)
      .map((literal) => literal.replace(/[.*+?^$()[\]\\|]/g, '\\$&'))
      .join('[^/]+');
    this.expression = new RegExp(`^${source}${hasRest ? '.*' : ''}$`);
  }

  /** Whether the path matches. @param path request path without its query */
  matches(path: string): boolean {
    return this.expression.test(path);
  }
}
