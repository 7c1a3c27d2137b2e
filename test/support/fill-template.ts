/**
 * Fills a template of `deploy/` as the platform does. `{{a.b}}` is a value, `{{a.0}}` one of a list, `{{a|json}}` a
 * value as JSON; `{{#a}}…{{/a}}` stands once for each value of a list, in which `{{.}}` is that value and `{{,}}` a
 * comma between two, or once where `a` has a value, and not at all where it has none.
 */

/** The fields of the platform. */
export type TemplateFields = Readonly<Record<string, unknown>>;

const SECTION = /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g;
const VALUE = /\{\{([\w.]+)(\|json)?\}\}/g;
const COMMA = '{{,}}';

/** @throws Error for a value that the fields don't hold */
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

/** Every name that a template uses, sorted, with `#` before those of sections and `|json` behind those. */
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
