/**
 * Renders a template of `deploy/` as the platform does. `{{a.b}}` inserts a value, `{{a.0}}` an element of a list,
 * `{{a|json}}` a value as JSON. A section `{{#a}}…{{/a}}` is repeated for each element of a list, where `{{.}}` is the
 * element and `{{,}}` a separating comma; for other values it is rendered once, or not at all if `a` is unset or false.
 */

/** Values that the platform provides to templates. */
export type TemplateFields = Readonly<Record<string, unknown>>;

const SECTION = /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g;
const VALUE = /\{\{([\w.]+)(\|json)?\}\}/g;
const COMMA = '{{,}}';

/** @throws Error if the template uses a value that is missing from `fields` */
export function fillTemplate(template: string, fields: TemplateFields): string {
  const withSections = template.replace(SECTION, (_whole, path: string, body: string) =>
    fillSection(body, valueAt(fields, path)),
  );
  return withSections.replace(VALUE, (_whole, path: string, json: string | undefined) => {
    const value = valueAt(fields, path);
    if (value === undefined) throw new Error(`no value for ${path}`);
    return json === undefined ? textOf(value) : JSON.stringify(value);
  });
}

/** Lists the distinct tags of a template without braces, sorted; prefixes and `|json` suffixes are kept. */
export function namesInTemplate(template: string): string[] {
  const names = [...template.matchAll(/\{\{([^}]+)\}\}/g)].map((match) => match[1]!);
  return [...new Set(names)].sort();
}

function fillSection(body: string, value: unknown): string {
  if (value === undefined || value === false || value === null) return '';
  if (!Array.isArray(value)) return body;
  return value
    .map((item, index) => {
      const comma = index < value.length - 1 ? ', ' : '';
      return body.replaceAll(COMMA, comma).replaceAll('{{.}}', textOf(item));
    })
    .join('');
}

function valueAt(fields: TemplateFields, path: string): unknown {
  let value: unknown = fields;
  for (const name of path.split('.')) value = (value as TemplateFields | undefined)?.[name];
  return value;
}

function textOf(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}
