import { expect } from 'chai';
import { existsSync, readFileSync } from 'node:fs';
import { parseKnownRed } from './support/known-red.js';

const ENTRY = 'the clock never goes back | seed 7: it went back by 3 ms | issue 30';

describe('the list of known failing tests', () => {
  it('names the title of each test, and is empty where there are none', () => {
    expect(parseKnownRed(`${ENTRY}\n`)).to.deep.equal([
      { title: 'the clock never goes back', entry: ENTRY },
    ]);
    expect(parseKnownRed('')).to.deep.equal([]);
  });

  it('is refused with an entry that lacks what was seen or the issue', () => {
    for (const entry of [
      'a title',
      'a title | seen',
      'a title | seen | soon',
      ' | seen | issue 1',
    ]) {
      expect(() => parseKnownRed(entry), entry).to.throw('needs');
    }
    expect(() => parseKnownRed(`${ENTRY} | issue 31`)).to.throw('needs');
  });

  it('is refused with a test that is listed twice', () => {
    expect(() => parseKnownRed(`${ENTRY}\n${ENTRY}`)).to.throw('twice');
  });

  it('is well formed in this project', () => {
    const text = existsSync('KNOWN-RED.txt') ? readFileSync('KNOWN-RED.txt', 'utf8') : '';
    expect(() => parseKnownRed(text)).not.to.throw();
  });
});
