/**
 * Pins the files in `deploy/` that the users' platform reads: template fields, names and commands. A filled template must be
 * valid settings.
 */
import { expect } from 'chai';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { z } from 'zod';
import { run } from '../../platform/main.js';
import { loadSettings } from '../../src/settings/load-settings.js';
import { controlSettingsSchema, sidecarSettingsSchema } from '../../src/settings/schemas.js';
import { ENGINE_FILE, ENGINE_FLAGS } from '../../scripts/engine.js';
import { fillTemplate, namesInTemplate, type TemplateFields } from '../support/fill-template.js';
import { readToml } from '../support/read-toml.js';

/** A template, the field values, and the resulting settings. */
interface FilledTemplate {
  readonly template: string;
  readonly fields: TemplateFields;
  readonly settings: unknown;
}

interface RecordedFiles {
  /** Field names of each template. */
  readonly templateNames: Readonly<Record<string, readonly string[]>>;
  readonly filled: readonly FilledTemplate[];
  readonly tables: Readonly<Record<string, unknown>>;
}

const RECORDED = JSON.parse(
  readFileSync('test/fixtures/deploy-files.json', 'utf8'),
) as RecordedFiles;
const SCHEMAS: Readonly<Record<string, z.ZodType>> = {
  'deploy/control.template.yaml': controlSettingsSchema,
  'deploy/sidecar.template.yaml': sidecarSettingsSchema,
};

function read(file: string): string {
  return readFileSync(file, 'utf8');
}

describe('the templates of settings', () => {
  it('take the recorded fields from the platform', () => {
    expect(Object.keys(RECORDED.templateNames)).to.deep.equal(Object.keys(SCHEMAS));
    for (const [file, names] of Object.entries(RECORDED.templateNames)) {
      expect(namesInTemplate(read(file))).to.deep.equal(names);
    }
  });

  for (const [index, { template, fields, settings }] of RECORDED.filled.entries()) {
    it(`give the recorded settings: ${template}, case ${index + 1}`, () => {
      const file = join(mkdtempSync(join(tmpdir(), 'shoredoor-deploy-')), 'node.yaml');
      writeFileSync(file, fillTemplate(read(template), fields));
      expect(loadSettings(SCHEMAS[template]!, file, [])).to.deep.equal(settings);
    });
  }
});

describe('what the platform is told', () => {
  for (const [file, tables] of Object.entries(RECORDED.tables)) {
    it(`is as recorded: ${file}`, () => {
      expect(readToml(read(file))).to.deep.equal(tables);
    });
  }

  it('has the programs run by the engine and with the flags for which the build writes the code cache', () => {
    const tables = readToml(read('deploy/system.toml'));
    for (const role of ['sidecar', 'control']) {
      const words = [ENGINE_FILE, ...ENGINE_FLAGS, 'target/launch.cjs', 'target/main.cjs', role];
      expect(tables[`roles.${role}`]!.run).to.equal(`${words.join(' ')} /etc/shoredoor/node.yaml`);
    }
  });

  it('names programs of the bundle, which knows these alone', async () => {
    let message = '';
    await run(['edge', 'none.yaml']).catch((error: unknown) => {
      message = (error as Error).message;
    });
    expect(message).to.equal('the program must be one of: sidecar, control');
  });
});
