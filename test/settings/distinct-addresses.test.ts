/** Guards against settings that name one address twice, with which a program would wait for an address that it uses itself. */
import { expect } from 'chai';
import type { z } from 'zod';
import {
  controlSettingsSchema,
  edgeSettingsSchema,
  nodeSettingsSchema,
  sidecarSettingsSchema,
} from '../../src/settings/schemas.js';

const COMMON = { id: 'one', zone: 'zone-a', linkToken: 'link-token-0123456789' };
const CONTROL = ['http://10.0.0.1:7000'];

interface Program {
  readonly schema: z.ZodType;
  readonly settings: object;
  readonly addresses: readonly string[];
}

const PROGRAMS: Readonly<Record<string, Program>> = {
  control: {
    schema: controlSettingsSchema,
    settings: { dataDir: 'data', seeds: CONTROL, advertise: CONTROL[0] },
    addresses: ['listen', 'admin'],
  },
  edge: {
    schema: edgeSettingsSchema,
    settings: { control: CONTROL },
    addresses: ['listen', 'admin'],
  },
  node: {
    schema: nodeSettingsSchema,
    settings: { control: CONTROL, service: 'ledger', target: { origin: 'http://127.0.0.1:1' } },
    addresses: ['inbound', 'outbound', 'admin'],
  },
  sidecar: {
    schema: sidecarSettingsSchema,
    settings: { control: CONTROL, service: 'ledger' },
    addresses: ['inbound', 'outbound', 'registration', 'admin'],
  },
};

/** @returns the path and message of each fault */
function faultsOf({ schema, settings }: Program, addresses: object): string[] {
  const result = schema.safeParse({ ...COMMON, ...settings, ...addresses });
  return (result.error?.issues ?? []).map(({ path, message }) => `${path.join('.')} ${message}`);
}

function distinctAddresses({ addresses }: Program): Record<string, string> {
  return Object.fromEntries(addresses.map((name, index) => [name, `127.0.0.1:${7_000 + index}`]));
}

describe('settings that name an address twice', () => {
  for (const [name, program] of Object.entries(PROGRAMS)) {
    const distinct = distinctAddresses(program);
    const [first = '', ...others] = program.addresses;

    for (const other of others) {
      it(`are refused: ${name}, ${first} and ${other}`, () => {
        const fault = `${other} has the address of '${first}'`;
        const same = { ...distinct, [other]: distinct[first] };
        expect(faultsOf(program, same)).to.deep.equal([fault]);
        for (const host of ['0.0.0.0', '[::]']) {
          const covering = { ...distinct, [other]: `${host}:7000` };
          expect(faultsOf(program, covering), host).to.deep.equal([fault]);
        }
      });

      it(`are not taken for others: ${name}, ${first} and ${other}`, () => {
        expect(faultsOf(program, distinct)).to.deep.equal([]);
        const anyPorts = { ...distinct, [first]: '127.0.0.1:0', [other]: '127.0.0.1:0' };
        expect(faultsOf(program, anyPorts)).to.deep.equal([]);
        for (const host of ['127.0.0.2', '[::1]']) {
          const otherHost = { ...distinct, [other]: `${host}:7000` };
          expect(faultsOf(program, otherHost), host).to.deep.equal([]);
        }
        const families = { ...distinct, [first]: '0.0.0.0:7000', [other]: '[::1]:7000' };
        expect(faultsOf(program, families)).to.deep.equal([]);
      });
    }
  }
});
