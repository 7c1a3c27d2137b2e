/**
 * Compares the log lines and sentences in the sources with recorded lists, so that a changed text shows up in review.
 * Update the lists together with the sources.
 */
import { expect } from 'chai';
import { readFileSync } from 'node:fs';
import { sourceLogLines, sourceLogParts, sourceSentences } from '../support/source-texts.js';

function recorded(name: string): string[] {
  return readFileSync(`test/fixtures/${name}`, 'utf8').split('\n').filter(Boolean);
}

describe('what the sources write for people', () => {
  it('are these log lines, with these levels and fields', () => {
    expect(sourceLogLines()).to.deep.equal(recorded('log-lines.txt'));
  });

  it('are lines of these parts', () => {
    expect(sourceLogParts()).to.deep.equal([
      'api',
      'clock',
      'follower',
      'log',
      'platform',
      'process',
      'quarantine',
      'quota',
      'replication',
      'request',
      'target',
    ]);
  });

  it('are these sentences', () => {
    expect(sourceSentences()).to.deep.equal(recorded('sentences.txt'));
  });
});
