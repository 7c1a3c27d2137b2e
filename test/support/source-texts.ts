/**
 * Extracts human-readable texts by parsing every file under `src`: the messages of log calls, and literals that are
 * sentences.
 */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import ts from 'typescript';

const SOURCE_FOLDER = 'src';
const LOG_METHODS: readonly string[] = ['debug', 'info', 'warn', 'error'];
/** Placeholder for an interpolated value. */
const VALUE = '${}';
/** Placeholder for fields that the log call does not name. */
const OTHER_FIELDS = '...';
/** Matches several words, or words with values between them. */
const SENTENCE = /[A-Za-z].* .*[A-Za-z]/s;

/** Lists every log call of the sources, sorted: level, text, and the field names in the call. */
export function sourceLogLines(): string[] {
  return collect((node) => {
    if (!ts.isCallExpression(node) || !ts.isPropertyAccessExpression(node.expression)) return [];
    const level = node.expression.name.text;
    if (!LOG_METHODS.includes(level)) return [];
    const [message, fields] = node.arguments;
    const text = message && textOf(message);
    return text === undefined ? [] : [`${level} ${text} {${fieldNames(fields).join(', ')}}`];
  });
}

/** Lists the distinct names with which loggers are created, sorted. */
export function sourceLogParts(): string[] {
  const parts = collect((node) => {
    if (!ts.isCallExpression(node) || !ts.isPropertyAccessExpression(node.expression)) return [];
    const text = node.arguments[0] && textOf(node.arguments[0]);
    return node.expression.name.text === 'part' && text !== undefined ? [text] : [];
  });
  return [...new Set(parts)];
}

/** Lists the distinct literals of several words, sorted, with line breaks escaped as `\r` and `\n`. */
export function sourceSentences(): string[] {
  const texts = collect((node) => {
    if (isPartOfText(node)) return [];
    const text = textOf(node);
    if (text === undefined || !SENTENCE.test(text)) return [];
    return [text.replaceAll('\r', '\\r').replaceAll('\n', '\\n')];
  });
  return [...new Set(texts)];
}

function collect(find: (node: ts.Node) => string[]): string[] {
  const found: string[] = [];
  const visit = (node: ts.Node): void => {
    found.push(...find(node));
    ts.forEachChild(node, visit);
  };
  for (const file of sourceFiles()) visit(file);
  return found.sort();
}

function sourceFiles(): ts.SourceFile[] {
  const names = readdirSync(SOURCE_FOLDER, { recursive: true, encoding: 'utf8' });
  return names
    .filter((name) => name.endsWith('.ts'))
    .map((name) => {
      const text = readFileSync(join(SOURCE_FOLDER, name), 'utf8');
      return ts.createSourceFile(name, text, ts.ScriptTarget.ES2022, true);
    });
}

/** Returns the text of a literal, a template, or a concatenation by `+`; undefined for other nodes. */
function textOf(node: ts.Node): string | undefined {
  if (ts.isStringLiteralLike(node)) return node.text;
  if (ts.isTemplateExpression(node)) {
    const rest = node.templateSpans.map(({ literal }) => VALUE + literal.text);
    return node.head.text + rest.join('');
  }
  if (!isJoin(node)) return undefined;
  const left = textOf(node.left);
  const right = textOf(node.right);
  return left === undefined || right === undefined ? undefined : left + right;
}

function isJoin(node: ts.Node): node is ts.BinaryExpression {
  return ts.isBinaryExpression(node) && node.operatorToken.kind === ts.SyntaxKind.PlusToken;
}

/** Whether the literal is part of a larger text, which is listed as a whole. */
function isPartOfText({ parent }: ts.Node): boolean {
  return parent !== undefined && isJoin(parent) && textOf(parent) !== undefined;
}

function fieldNames(fields: ts.Node | undefined): string[] {
  if (fields === undefined) return [];
  const literal = ts.isIdentifier(fields) ? initializerOf(fields) : fields;
  if (literal === undefined || !ts.isObjectLiteralExpression(literal)) return [OTHER_FIELDS];
  return literal.properties.map(({ name }) => name?.getText() ?? OTHER_FIELDS).sort();
}

/** Returns the initializer of a constant in the same function. */
function initializerOf(name: ts.Identifier): ts.Node | undefined {
  for (let scope: ts.Node = name; scope.parent !== undefined; scope = scope.parent) {
    if (!ts.isBlock(scope)) continue;
    for (const statement of scope.statements.filter(ts.isVariableStatement)) {
      const found = statement.declarationList.declarations.find(
        (declaration) => declaration.name.getText() === name.text,
      );
      if (found !== undefined) return found.initializer;
    }
  }
  return undefined;
}
