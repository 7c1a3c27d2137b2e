/** Holds docs/reference/settings.md to the schemas: every setting of a program stands there with its default, and no other. */
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
const FOR_ALL_HEADING = 'All programs';
const ROW = /^\| `([^`]+)` +\| ([^|]+?) +\|/;

/** Each setting by its path, with its default as the page writes it. */
type Defaults = Record<string, string>;

/** The rows of the tables under headings for all programs, or that name this one. */
function defaultsOnPage(program: string): Defaults {
  const defaults: Defaults = {};
  for (const section of PAGE.split(/^## /m).slice(1)) {
    const [heading = '', ...lines] = section.split('\n');
    if (heading !== FOR_ALL_HEADING && !heading.includes(`\`${program}\``)) continue;
    for (const line of lines) {
      const [, path, value] = ROW.exec(line) ?? [];
      if (path === undefined) continue;
      expect(defaults, `${program}: ${path} stands twice`).not.to.have.property(path);
      defaults[path] = value!;
    }
  }
  return defaults;
}

/** The settings that hold no others. */
function defaultsOfSchema(schema: z.ZodType): Defaults {
  const fields = schemaFields(schema);
  const paths = Object.keys(fields).filter((path) => path !== '(whole)' && !path.includes('<'));
  const leaves = paths.filter((path) => !paths.some((other) => isInside(other, path)));
  return Object.fromEntries(leaves.map((path) => [path, defaultOf(fields, path)]));
}

function isInside(path: string, whole: string): boolean {
  return path.startsWith(`${whole}.`) || path.startsWith(`${whole}[]`);
}

/** A default of its own, or that of the object which holds the setting, or none if it or that object may be left out. */
function defaultOf(fields: SchemaFields, path: string): string {
  const own = ownDefault(fields, path);
  if (own !== undefined) return `\`${textOf(own)}\``;
  if (fields[path]!.endsWith('optional')) return 'none';
  const holder = /^(.+)(?:\.[^.[\]]+|\[\])$/.exec(path)?.[1];
  if (holder === undefined) return 'required';
  const held = ownDefault(fields, holder) as Record<string, unknown> | undefined;
  if (held === undefined) return defaultOf(fields, holder);
  const name = path.slice(holder.length + 1);
  return name in held ? `\`${textOf(held[name])}\`` : 'none';
}

function ownDefault(fields: SchemaFields, path: string): unknown {
  const text = /(?:^|, )default (.*)$/.exec(fields[path]!)?.[1];
  return text === undefined ? undefined : JSON.parse(text);
}

function textOf(value: unknown): string {
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
