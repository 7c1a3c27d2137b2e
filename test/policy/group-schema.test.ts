import { expect } from 'chai';
import { GroupTable } from '../../src/policy/group-table.js';
import { groupResourceSchema } from '../../src/policy/group-schema.js';
import { declarationFaults } from '../../src/policy/route-schema.js';

function group(name: string, keys: string[], more: object = {}) {
  return { kind: 'Group' as const, name, spec: { keys, ...more } };
}

describe('the groups of a declared set', () => {
  it('share no key, and the fault names the groups and not the key', () => {
    const faults = declarationFaults([group('a', ['k-1', 'k-2']), group('b', ['k-3', 'k-2'])]);
    expect(faults).to.deep.equal([
      { path: 'resources[1].spec.keys', message: "shares an API key with Group 'a'" },
    ]);
    expect(JSON.stringify(faults)).to.not.include('k-2');
  });

  // Guards against an exception in the comparison of keys, which closed the connection of the client: the schema's default
  // for `keys` is not applied to a declared set.
  it('may hold no keys at all', () => {
    const bare = { kind: 'Group', name: 'a', spec: {} };
    expect(declarationFaults([bare, group('b', ['k-1'])])).to.deep.equal([]);
  });

  it('may list a key of their own twice', () => {
    expect(declarationFaults([group('a', ['k-1', 'k-1'])])).to.deep.equal([]);
  });

  const invalid = [
    { what: 'a rate below nothing', spec: { keys: [], ratePerSecond: -1 } },
    { what: 'a burst that is no number', spec: { keys: [], burst: 'much' } },
    { what: 'a rank that is no whole number', spec: { keys: [], rank: 1.5 } },
    { what: 'a key that is no text', spec: { keys: [7] } },
    { what: 'keys that are no list', spec: { keys: 'k-1' } },
  ];
  for (const { what, spec } of invalid) {
    it(`are not valid with ${what}`, () => {
      const faults = declarationFaults([{ kind: 'Group', name: 'a', spec }]);
      expect(faults).to.have.length(1);
      expect(faults[0]!.path).to.match(/^resources\[0\]\.spec\./);
      expect(JSON.stringify(faults)).to.not.include('k-1');
    });
  }

  it('keep fields that are not known here', () => {
    const resource = group('a', ['k-1'], { colour: 'blue' });
    expect(groupResourceSchema.parse(resource)).to.deep.equal(resource);
  });

  it('are found by their keys, with no limit where the rate is 0 or absent', () => {
    const table = new GroupTable();
    expect(table.requiresKeys).to.equal(false);
    table.addSetGroup(group('a', ['k-1'], { rank: 2, ratePerSecond: 5 }));
    table.addSetGroup(group('b', ['k-2'], { ratePerSecond: 0, burst: 9 }));
    expect(table.requiresKeys).to.equal(true);
    expect(table.findByKey('k-1')).to.include({ name: 'a', rank: 2 });
    expect(table.findByKey('k-1')?.rate).to.deep.equal({ perSecond: 5, burst: 0 });
    expect(table.findByKey('k-2')?.rate).to.equal(undefined);
    expect(table.findByKey('k-3')).to.equal(undefined);
  });
});
