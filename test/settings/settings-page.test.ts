/** Checks that docs/reference/settings.md lists exactly the settings of the schemas, with their defaults. */
import { expect } from 'chai';
import { readFileSync } from 'node:fs';
import type { z } from 'zod';
import {
  controlSettingsSchema,
  edgeSettingsSchema,
  nodeSettingsSchema,
  sidecarSettingsSchema,
} from '../../src/settings/schemas.js';
import { schemaFields, type SchemaFields } from '../support/schema-fields.js';

const SCHEMAS: Readonly<Record<string, z.ZodType>> = {
  edge: edgeSettingsSchema,
  node: nodeSettingsSchema,
  sidecar: sidecarSettingsSchema,
  control: controlSettingsSchema,
};
const PAGE = readFileSync('docs/reference/settings.md', 'utf8');
const ALL_PROGRAMS_HEADING = 'All programs';
const ROW = /^\| `([^`]+)` +\| ([^|]+?) +\|/;

/** Defaults by the path of the setting, formatted as on the page. */
type Defaults = Record<string, string>;

/** Reads the tables under the heading for all programs and under headings that name this program. */
function defaultsOnPage(program: string): Defaults {
  const defaults: Defaults = {};
  for (const section of PAGE.split(/^## /m).slice(1)) {
    const [heading = '', ...lines] = section.split('\n');
    if (heading !== ALL_PROGRAMS_HEADING && !heading.includes(`\`${program}\``)) continue;
    for (const line of lines) {
      const [, path, value] = ROW.exec(line) ?? [];
      if (path === undefined) continue;
      expect(defaults, `${program}: ${path} stands twice`).not.to.have.property(path);
      defaults[path] = value!;
    }
  }
  return defaults;
}

/** Returns the defaults of the settings without nested settings. */
function defaultsOfSchema(schema: z.ZodType): Defaults {
  const fields = schemaFields(schema);
  const paths = Object.keys(fields).filter((path) => path !== '(whole)' && !path.includes('<'));
  const leaves = paths.filter((path) => !paths.some((other) => isInside(other, path)));
  return Object.fromEntries(leaves.map((path) => [path, defaultOf(fields, path)]));
}

function isInside(path: string, parent: string): boolean {
  return path.startsWith(`${parent}.`) || path.startsWith(`${parent}[]`);
}

/** Returns the setting's own default, else the one in its parent's default; `none` if it or a parent is optional. */
function defaultOf(fields: SchemaFields, path: string): string {
  const own = ownDefault(fields, path);
  if (own !== undefined) return `\`${formatValue(own)}\``;
  if (fields[path]!.endsWith('optional')) return 'none';
  const parent = /^(.+)(?:\.[^.[\]]+|\[\])$/.exec(path)?.[1];
  if (parent === undefined) return 'required';
  const parentDefault = ownDefault(fields, parent) as Record<string, unknown> | undefined;
  if (parentDefault === undefined) return defaultOf(fields, parent);
  const name = path.slice(parent.length + 1);
  return name in parentDefault ? `\`${formatValue(parentDefault[name])}\`` : 'none';
}

function ownDefault(fields: SchemaFields, path: string): unknown {
  const text = /(?:^|, )default (.*)$/.exec(fields[path]!)?.[1];
  return text === undefined ? undefined : JSON.parse(text);
}

function formatValue(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}

describe('the page of settings', () => {
  for (const [program, schema] of Object.entries(SCHEMAS)) {
    it(`names the settings of ${program} with their defaults, and no other`, () => {
      expect(defaultsOnPage(program)).to.deep.equal(defaultsOfSchema(schema));
    });
  }

  it('has tables for these programs alone', () => {
    const named = [...PAGE.matchAll(/^## (.*`.*)$/gm)].flatMap(([, heading = '']) =>
      [...heading.matchAll(/`([^`]+)`/g)].map(([, program]) => program),
    );
    expect([...new Set(named)].sort()).to.deep.equal(Object.keys(SCHEMAS).sort());
  });
});
