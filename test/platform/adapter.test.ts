import { expect } from 'chai';
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { PLATFORM_DECLARATION_CODEC } from '../../platform/declaration-codec.js';
import { declarationFaults, type RouteResource } from '../../src/policy/route-schema.js';
import { RouteTable } from '../../src/policy/route-table.js';
import { readToml } from '../support/read-toml.js';

const PLATFORM_NAMES =
  /x-response-signature|x-not-executed|x-expected-instance|x-deadline-milliseconds|x-calling-service|weighted_services|latency_objective|call_sequence|cold_remaining|configuration\.put|x-tenant|api_keys|rate_per_s|allow_anonymous|server-limit|server-leaving/i;
const MAX_CODE_RATIO = 0.1;

function sources(folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.ts'))
    .map((name) => readFileSync(join(folder, name), 'utf8'));
}

function lines(texts: readonly string[]): number {
  return texts.reduce((sum, text) => sum + text.split('\n').length, 0);
}

describe('the adapter', () => {
  it('alone knows the names of the platform, and the product does not know the adapter', () => {
    for (const folder of ['src', 'lab', 'bench']) {
      for (const text of sources(folder)) {
        expect(text).to.not.match(PLATFORM_NAMES);
        expect(text).to.not.match(/from '(\.\.\/)+platform\//);
      }
    }
  });

  it('is a small part of the code', () => {
    expect(lines(sources('platform'))).to.be.below(MAX_CODE_RATIO * lines(sources('src')));
  });

  it('reads a set back as it was written', () => {
    const body = {
      version: 7,
      resources: [
        { kind: 'Route', meta: { name: 'r' }, spec: { timeoutMs: 5, colour: 'blue' } },
        { kind: 'Ingress', meta: {}, spec: { maxBodyBytes: 9 } },
      ],
    };
    const document = PLATFORM_DECLARATION_CODEC.decode(body);
    expect(PLATFORM_DECLARATION_CODEC.encode(document!)).to.deep.equal(body);
  });

  // The kinds of request that the platform's pages name.
  const KINDS = { idempotent: true, non_idempotent: false, download: true, upload: false };
  for (const [kind, repeatable] of Object.entries(KINDS)) {
    it(`takes routes of the kind ${kind}, which ${repeatable ? 'may' : 'must not'} be repeated`, () => {
      const semantics = readToml(readFileSync('deploy/wire.toml', 'utf8')).words![kind] ?? kind;
      const route = {
        kind: 'Route',
        name: 'r',
        spec: { host: 'a.example', pathPrefix: '/', semantics, timeoutMs: 5, service: 's' },
      } as RouteResource;
      const resources = [{ kind: 'Service', name: 's', spec: {} }, route];
      expect(declarationFaults(resources)).to.deep.equal([]);
      expect(new RouteTable([route]).match('a.example', '/')?.repeatable).to.equal(repeatable);
    });
  }

  it('takes nothing that is not laid out as a set', () => {
    const bodies = [
      undefined,
      7,
      {},
      { version: '7', resources: [] },
      { version: 7, resources: [1] },
    ];
    for (const body of bodies) {
      expect(PLATFORM_DECLARATION_CODEC.decode(body)).to.equal(undefined);
    }
  });
});
