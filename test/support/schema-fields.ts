/** Describes the fields of a zod schema as text, to compare a schema with a recorded list. */
import { z } from 'zod';

/** Field descriptions by path, such as `stop.drainMs`; `[]` denotes list items. */
export type SchemaFields = Record<string, string>;

type JsonSchema = z.core.JSONSchema.BaseSchema;

/** JSON Schema keywords that are already expressed by the field paths or handled separately. */
const NOT_SHOWN = new Set([
  '$schema',
  'properties',
  'required',
  'items',
  'anyOf',
  'oneOf',
  'default',
]);

/** Describes each field: its type, its bounds, whether it is optional, and its default. */
export function schemaFields(schema: z.ZodType): SchemaFields {
  const fields: SchemaFields = {};
  const root = z.toJSONSchema(schema, { io: 'output', unrepresentable: 'throw', reused: 'inline' });
  addField(fields, '(whole)', '', root, '');
  return fields;
}

/** @param prefix prefix of the paths of nested fields */
function addField(
  fields: SchemaFields,
  path: string,
  prefix: string,
  schema: JsonSchema,
  presence: string,
): void {
  const alternatives = schema.anyOf ?? schema.oneOf ?? [];
  const form = Object.entries(schema)
    .filter(([keyword]) => isShown(keyword, schema))
    .map(([keyword, value]) => `${keyword} ${textOf(value)}`)
    .sort();
  if (alternatives.length > 0) form.push(`one of ${alternatives.length}`);
  if (presence !== '') form.push(presence);
  fields[path] = form.join(', ');
  alternatives.forEach((alternative, index) => {
    const name = `${prefix}<${constantOf(alternative) ?? index + 1}>`;
    addField(fields, name, `${name}.`, alternative, '');
  });
  for (const [name, part] of Object.entries(schema.properties ?? {})) {
    const partPath = `${prefix}${name}`;
    const partSchema = part as JsonSchema;
    addField(fields, partPath, `${partPath}.`, partSchema, presenceOf(name, partSchema, schema));
  }
  if (schema.items !== undefined) {
    addField(fields, `${path}[]`, `${path}[].`, schema.items as JsonSchema, '');
  }
}

/** Leaves out the pattern of a named format, which zod defines. */
function isShown(keyword: string, { format }: JsonSchema): boolean {
  if (keyword === 'pattern' && format !== undefined) return false;
  return !NOT_SHOWN.has(keyword);
}

function textOf(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}

/** The discriminator of a union member: `kind` for resources, otherwise `type`. */
function constantOf(schema: JsonSchema): string | undefined {
  const { kind, type } = (schema.properties ?? {}) as Record<string, JsonSchema | undefined>;
  return (kind?.const ?? type?.const) as string | undefined;
}

function presenceOf(name: string, part: JsonSchema, whole: JsonSchema): string {
  if ('default' in part) return `default ${JSON.stringify(part.default)}`;
  return (whole.required ?? []).includes(name) ? 'required' : 'optional';
}
