import { expect } from 'chai';
import { parseTargetLoad } from '../../src/http/target-load.js';

describe('the load that a target reports', () => {
  const valid: readonly [string, object][] = [
    ['3,0,8', { running: 3, waiting: 0, slots: 8, slowdown: undefined }],
    ['3,2,8,100', { running: 3, waiting: 2, slots: 8, slowdown: 1 }],
    ['3, 2, 8, 250', { running: 3, waiting: 2, slots: 8, slowdown: 2.5 }],
    ['3,0,8,0', { running: 3, waiting: 0, slots: 8, slowdown: undefined }],
    ['3,0,8,100,7', { running: 3, waiting: 0, slots: 8, slowdown: 1 }],
  ];
  for (const [text, load] of valid) {
    it(`is read from '${text}'`, () => expect(parseTargetLoad(text)).to.deep.equal(load));
  }

  const malformed = [
    undefined,
    '',
    '8',
    '3,0',
    '3,0,many',
    '3,0,0',
    '3,0,-8',
    '3,,8',
    '3,0,8,fast',
  ];
  for (const text of malformed) {
    it(`is unknown from '${text}'`, () => expect(parseTargetLoad(text)).to.equal(undefined));
  }
});
