/**
 * Guards against changes of fields, bounds and defaults that would break the settings and declarations of running
 * deployments. test/fixtures/settings-fields.json lists the fields of each schema; test/fixtures/settings-cases.json holds
 * example settings with the parsed result or the reported faults.
 */
import { expect } from 'chai';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { z } from 'zod';
import { ValidationError, type Fault } from '../../src/common/errors.js';
import { resourceFaults, resourceSchema } from '../../src/policy/resource-schema.js';
import { declarationFaults, declaredResourceSchema } from '../../src/policy/route-schema.js';
import { loadSettings } from '../../src/settings/load-settings.js';
import {
  controlSettingsSchema,
  edgeSettingsSchema,
  nodeSettingsSchema,
  sidecarSettingsSchema,
} from '../../src/settings/schemas.js';
import { schemaFields, type SchemaFields } from '../support/schema-fields.js';

/** Settings as an operator writes them: the lines of a file and `--set` flags. */
interface SettingsInput {
  readonly program: string;
  readonly file: readonly string[];
  readonly flags: readonly string[];
}

interface SettingsCases {
  readonly read: readonly (SettingsInput & { readonly settings: unknown })[];
  readonly refused: readonly (SettingsInput & { readonly faults: readonly Fault[] })[];
  /** Single resources and their faults. */
  readonly resources: readonly { readonly resource: unknown; readonly faults: unknown }[];
  /** Sets of resources and their faults. */
  readonly sets: readonly { readonly resources: readonly unknown[]; readonly faults: unknown }[];
  /** Resources and their stored form, with defaults. */
  readonly stored: readonly { readonly resource: unknown; readonly text: string }[];
}

const SCHEMAS: Readonly<Record<string, z.ZodType>> = {
  edge: edgeSettingsSchema,
  node: nodeSettingsSchema,
  sidecar: sidecarSettingsSchema,
  control: controlSettingsSchema,
  resource: resourceSchema,
  'resource of a declared set': declaredResourceSchema,
};
const FIELDS = readJson('test/fixtures/settings-fields.json') as Record<string, SchemaFields>;
const CASES = readJson('test/fixtures/settings-cases.json') as SettingsCases;

function readJson(file: string): unknown {
  return JSON.parse(readFileSync(file, 'utf8'));
}

function load({ program, file, flags }: SettingsInput): unknown {
  const path = join(mkdtempSync(join(tmpdir(), 'shoredoor-settings-')), 'settings.yaml');
  writeFileSync(path, file.join('\n'));
  return loadSettings(SCHEMAS[program]!, path, flags);
}

function faultsOfSettings(input: SettingsInput): readonly Fault[] {
  try {
    load(input);
  } catch (error) {
    if (error instanceof ValidationError) return error.faults;
    throw error;
  }
  return [];
}

describe('the fields of settings and resources', () => {
  it('are recorded for every schema', () => {
    expect(Object.keys(SCHEMAS)).to.deep.equal(Object.keys(FIELDS));
  });

  for (const [name, schema] of Object.entries(SCHEMAS)) {
    it(`are as recorded: ${name}`, () => {
      expect(schemaFields(schema)).to.deep.equal(FIELDS[name]);
    });
  }

  it('stand in the recorded order in resources, by which a change that is sent again is known', () => {
    for (const { resource, text } of CASES.stored) {
      expect(JSON.stringify(resourceSchema.parse(resource))).to.equal(text);
    }
  });
});

describe('settings', () => {
  for (const [index, given] of CASES.read.entries()) {
    it(`are read as recorded: ${given.program}, case ${index + 1}`, () => {
      expect(load(given)).to.deep.equal(given.settings);
    });
  }

  for (const [index, given] of CASES.refused.entries()) {
    it(`are refused with the recorded faults: ${given.program}, case ${index + 1}`, () => {
      expect(faultsOfSettings(given)).to.deep.equal(given.faults);
    });
  }
});

describe('resources', () => {
  it('are refused with the recorded faults', () => {
    for (const { resource, faults } of CASES.resources) {
      expect(resourceFaults(resource)).to.deep.equal(faults);
    }
  });

  it('of a set are refused with the recorded faults', () => {
    for (const { resources, faults } of CASES.sets) {
      expect(declarationFaults(resources)).to.deep.equal(faults);
    }
  });
});
