/**
 * The texts that the sources write for people, found by parsing every file under `src`, wherever it stands: calls that
 * write log lines, and literals that are sentences.
 */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import ts from 'typescript';

const SOURCE_FOLDER = 'src';
const LOG_METHODS: readonly string[] = ['debug', 'info', 'warn', 'error'];
/** Stands for a value that is put into a text. */
const VALUE = '${}';
/** Stands for fields that are not named where the line is written. */
const OTHER_FIELDS = '...';
/** Several words, or words with values between them. */
const SENTENCE = /[A-Za-z].* .*[A-Za-z]/s;

/** Every log line of the sources: level, text, and the field names that stand in the call; sorted. */
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

/** Names of the parts that loggers are made for; sorted, each once. */
export function sourceLogParts(): string[] {
  const parts = collect((node) => {
    if (!ts.isCallExpression(node) || !ts.isPropertyAccessExpression(node.expression)) return [];
    const text = node.arguments[0] && textOf(node.arguments[0]);
    return node.expression.name.text === 'part' && text !== undefined ? [text] : [];
  });
  return [...new Set(parts)];
}

/** Every literal of the sources that has several words; sorted, each once, with its line ends as `\r` and `\n`. */
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

/** The text of a literal, of a template, or of several joined by `+`; undefined where it is none. */
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

/** Whether the whole of which the literal is a part is a text of its own. */
function isPartOfText({ parent }: ts.Node): boolean {
  return parent !== undefined && isJoin(parent) && textOf(parent) !== undefined;
}

function fieldNames(fields: ts.Node | undefined): string[] {
  if (fields === undefined) return [];
  const literal = ts.isIdentifier(fields) ? initializerOf(fields) : fields;
  if (literal === undefined || !ts.isObjectLiteralExpression(literal)) return [OTHER_FIELDS];
  return literal.properties.map(({ name }) => name?.getText() ?? OTHER_FIELDS).sort();
}

/** What a constant of the same function is set to. */
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
