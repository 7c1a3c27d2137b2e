/* eslint-disable @typescript-eslint/explicit-module-boundary-types -- types of plain JavaScript stand in JSDoc */
/**
 * Fills a template of deploy/ as the users' page DEPLOY.md tells it, as far as these templates need it: `{{a.b}}`,
 * `{{a.0}}`, `{{a|json}}`, and `{{#a}} .. {{/a}}` with `{{.}}` and `{{,}}` inside.
 */

/** @typedef {Readonly<Record<string, unknown>>} Fields */

const SECTION = /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g;
const VALUE = /\{\{([\w.]+)(\|json)?\}\}/g;

/**
 * @param {string} template
 * @param {Fields} fields
 * @returns {string}
 */
export function fillTemplate(template, fields) {
  return template
    .replace(SECTION, (_whole, /** @type {string} */ path, /** @type {string} */ body) =>
      fillSection(body, valueAt(fields, path)),
    )
    .replace(
      VALUE,
      (_whole, /** @type {string} */ path, /** @type {string | undefined} */ json) => {
        const value = valueAt(fields, path);
        if (value === undefined) return '';
        return json === undefined && typeof value === 'string' ? value : JSON.stringify(value);
      },
    );
}

/**
 * @param {string} body
 * @param {unknown} value
 */
function fillSection(body, value) {
  if (value === undefined || value === null || value === false) return '';
  if (!Array.isArray(value)) return body;
  const entries = value.map(String);
  return entries
    .map((entry, index) =>
      body.replaceAll('{{,}}', index < entries.length - 1 ? ', ' : '').replaceAll('{{.}}', entry),
    )
    .join('');
}

/**
 * @param {Fields} fields
 * @param {string} path
 * @returns {unknown}
 */
function valueAt(fields, path) {
  /** @type {unknown} */
  let value = fields;
  for (const name of path.split('.')) value = /** @type {Fields | undefined} */ (value)?.[name];
  return value;
}
