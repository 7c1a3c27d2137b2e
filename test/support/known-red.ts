/** Reads the list of known failing tests, which CI skips. */

/** A test that fails because of a real fault that is not fixed yet. */
export interface KnownRedTest {
  /** Full title of the test. */
  readonly title: string;
  /** The whole entry, as printed when the test is skipped. */
  readonly entry: string;
}

const SEPARATOR = ' | ';
/** The last field names the issue that stays open until the fault is fixed. */
const ISSUE = /^issue \d+$/;
const FIELD_COUNT = 3;

/**
 * Parses a list with one entry per line: `FULL TITLE | COMMAND, SEED AND WHAT WAS SEEN | issue N`.
 * @throws {Error} if an entry is malformed, or a test is listed twice
 */
export function parseKnownRed(text: string): KnownRedTest[] {
  const tests = text.split('\n').filter(Boolean).map(parseEntry);
  const titles = new Set(tests.map(({ title }) => title));
  if (titles.size < tests.length) throw new Error('a known red test is listed twice');
  return tests;
}

function parseEntry(entry: string): KnownRedTest {
  const fields = entry.split(SEPARATOR);
  const [title = '', seen = '', issue = ''] = fields;
  const isWellFormed = fields.length === FIELD_COUNT && title !== '' && seen !== '';
  if (isWellFormed && ISSUE.test(issue)) return { title, entry };
  throw new Error(`a known red test needs 'TITLE | SEEN | issue N', not '${entry}'`);
}
