/** Lists the fields of a zod schema as text, so that a schema can be compared with a recorded list. */
import { z } from 'zod';

/** The form of each field by its path, such as `stop.drainMs`: `[]` for items of a list. */
export type SchemaFields = Record<string, string>;

type JsonSchema = z.core.JSONSchema.BaseSchema;

/** Told by the paths of the fields. */
const NOT_SHOWN = new Set([
  '$schema',
  'properties',
  'required',
  'items',
  'anyOf',
  'oneOf',
  'default',
]);

/** Each field with its type, bounds, whether it may be left out, and its default. */
export function schemaFields(schema: z.ZodType): SchemaFields {
  const fields: SchemaFields = {};
  const root = z.toJSONSchema(schema, { io: 'output', unrepresentable: 'throw', reused: 'inline' });
  addField(fields, '(whole)', '', root, '');
  return fields;
}

/** @param prefix of the paths of the fields inside this one */
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

/** The pattern of a named format is the library's own. */
function isShown(keyword: string, { format }: JsonSchema): boolean {
  if (keyword === 'pattern' && format !== undefined) return false;
  return !NOT_SHOWN.has(keyword);
}

function textOf(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}

/** The `kind` of a resource, or the `type` of another union. */
function constantOf(schema: JsonSchema): string | undefined {
  const { kind, type } = (schema.properties ?? {}) as Record<string, JsonSchema | undefined>;
  return (kind?.const ?? type?.const) as string | undefined;
}

function presenceOf(name: string, part: JsonSchema, whole: JsonSchema): string {
  if ('default' in part) return `default ${JSON.stringify(part.default)}`;
  return (whole.required ?? []).includes(name) ? 'required' : 'optional';
}
