import { expect } from 'chai';
import fc from 'fast-check';
import { ResourceStore } from '../../src/control/resource-store.js';
import type { DeclareCommand } from '../../src/control/commands.js';
import { ConfigurationView } from '../../src/follower/configuration-view.js';
import type { Resource } from '../../src/policy/resource-schema.js';

function route(name: string, timeoutMs: number): Resource {
  const spec = { host: 'a', pathPrefix: `/${name}/`, semantics: 'once' as const, timeoutMs };
  return { kind: 'Route', name, spec: { ...spec, service: 'ledger' } };
}

function declare(
  version: number,
  baseVersion: number,
  changed: Resource[],
  digest = `d${version}`,
): DeclareCommand {
  return {
    type: 'declare',
    version,
    baseVersion,
    digest,
    changed,
    removed: [],
    actor: 'operator',
    at: 0,
  };
}

describe('declared sets in the store', () => {
  it('lets one of two changes on the same version win', () => {
    const store = new ResourceStore();
    store.apply(declare(3, 0, [route('a', 1)]));
    expect(store.apply(declare(5, 3, [route('a', 2)], 'x')).type).to.equal('declared');
    expect(store.apply(declare(5, 3, [route('a', 9)], 'y'))).to.deep.equal({
      type: 'version-conflict',
      currentVersion: 5,
    });
    expect(store.get({ kind: 'Route', name: 'a' })?.resource.spec).to.include({ timeoutMs: 2 });
  });

  it('acknowledges what was accepted again, also later and after a snapshot', () => {
    const store = new ResourceStore();
    const first = declare(3, 0, [route('a', 1)]);
    const answer = store.apply(first);
    store.apply(declare(4, 3, [route('a', 2)]));
    const restored = new ResourceStore();
    restored.restore(store.snapshot());
    for (const replica of [store, restored]) {
      expect(replica.apply(first)).to.deep.equal(answer);
      expect(replica.declarations.version).to.equal(4);
      expect(replica.get({ kind: 'Route', name: 'a' })?.resource.spec).to.include({ timeoutMs: 2 });
    }
  });

  it('never goes back to a lower version', () => {
    const store = new ResourceStore();
    store.apply(declare(9, 0, [route('a', 1)]));
    expect(store.apply(declare(8, 9, [route('a', 2)])).type).to.equal('version-conflict');
  });

  it('reaches followers whole, at one revision, also from the middle of a long history', () => {
    const store = new ResourceStore();
    const view = new ConfigurationView();
    const sync = (): void => {
      const { revision } = store;
      const changes = store.changesSince(view.appliedRevision);
      const resources = changes === undefined ? store.list() : undefined;
      const endpoints = { endpointSource: '', endpointVersion: 0, endpointChanges: [] };
      const news = { revision, resources, changes: changes ?? [], endpoints: undefined };
      view.apply({ ...news, ...endpoints });
    };
    view.apply({
      revision: 0,
      resources: [],
      changes: [],
      endpointSource: '',
      endpointVersion: 0,
      endpoints: [],
      endpointChanges: [],
    });
    for (let version = 1; version <= 12; version += 1) {
      const routes = Array.from({ length: 350 }, (_, index) => route(`r${index}`, version));
      store.apply(declare(version, version - 1, routes));
      if (version % 3 === 0) sync();
    }
    expect(view.appliedRevision).to.equal(12);
    const timeouts = view
      .resourceList()
      .map(({ resource }) => resource.kind === 'Route' && resource.spec.timeoutMs);
    expect(new Set(timeouts)).to.deep.equal(new Set([12]));
  });

  it('keeps one line of versions through races, resends, snapshots and lagging replicas', () => {
    const step = fc.record({
      /** Index of an earlier set to resend; a new set when it is undefined or out of range. */
      resend: fc.option(fc.nat({ max: 40 }), { nil: undefined }),
      /** Number of accepted versions by which the base is stale. */
      behind: fc.nat({ max: 2 }),
      jump: fc.integer({ min: 1, max: 3 }),
      snapshot: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        let store = new ResourceStore();
        const log: DeclareCommand[] = [];
        const accepted: number[] = [0];
        const sent: DeclareCommand[] = [];
        const acknowledged = new Set<DeclareCommand>();
        for (const { resend, behind, jump, snapshot } of steps) {
          const base = accepted.at(-1 - behind) ?? 0;
          const version = base + jump;
          const fresh = declare(version, base, [route('a', sent.length + 1)], `d${sent.length}`);
          const command = (resend === undefined ? undefined : sent[resend]) ?? fresh;
          if (command === fresh) sent.push(fresh);
          const before = store.declarations.version;
          const result = store.apply(command);
          log.push(command);
          if (acknowledged.has(command)) expect(result.type).to.equal('declared');
          else if (result.type === 'declared') {
            acknowledged.add(command);
            expect(command.baseVersion).to.equal(before);
            expect(command.version).to.be.above(before);
            accepted.push(command.version);
          } else expect(store.declarations.version).to.equal(before);
          if (!snapshot) continue;
          const restored = new ResourceStore();
          restored.restore(store.snapshot());
          store = restored;
        }
        const replica = new ResourceStore();
        for (const command of log) replica.apply(command);
        expect(replica.list()).to.deep.equal(store.list());
        expect(replica.declarations.list()).to.deep.equal(store.declarations.list());
      }),
    );
  });
});
