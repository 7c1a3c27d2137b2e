import { expect } from 'chai';
import { BoundedMap } from '../../src/common/bounded-map.js';

describe('a bounded map', () => {
  it('forgets all before it takes one name too many', () => {
    const map = new BoundedMap<number>(2);
    map.set('a', 1).set('b', 2).set('c', 3);
    expect([...map]).to.deep.equal([['c', 3]]);
  });

  it('forgets nothing when a known name changes', () => {
    const map = new BoundedMap<number>(2);
    map.set('a', 1).set('b', 2).set('a', 3);
    expect([...map]).to.deep.equal([
      ['a', 3],
      ['b', 2],
    ]);
  });
});
