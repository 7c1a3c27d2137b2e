/**
 * Pins the commands, flags, help texts and exit codes, on which operators' scripts depend. The help texts are in
 * test/fixtures/help, one file for each command.
 */
import { expect } from 'chai';
import { execFile, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { stringify } from 'yaml';
import { EXIT_CODES } from '../../src/cli/exit-codes.js';
import { Cleanup, OPERATOR_TOKEN, startTestControl, untilReady } from '../support/processes.js';

const HELP_FOLDER = 'test/fixtures/help';
const VERSION_TEXT = /^shoredoor\/\d+\.\d+\.\d+/;
const UNREACHABLE_ORIGIN = 'http://127.0.0.1:1';
const UNREACHABLE_ERROR =
  'shoredoor: connect ECONNREFUSED 127.0.0.1:1\nno control replica answered\n';

interface CommandResult {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

function productScript(): string {
  const { bin } = JSON.parse(readFileSync('package.json', 'utf8')) as {
    bin: Record<string, string>;
  };
  return bin.shoredoor!;
}

/** Runs a command until it exits. @param variables additional environment variables */
function shoredoor(
  args: readonly string[],
  variables: Record<string, string> = {},
): Promise<CommandResult> {
  return new Promise((resolve) => {
    const child = execFile(
      process.execPath,
      [productScript(), ...args],
      { env: { PATH: process.env.PATH, ...variables } },
      (_error, out, err) => resolve({ code: child.exitCode ?? -1, out, err }),
    );
  });
}

/** Returns the commands that the help lists. */
function commandsIn(help: string): string[] {
  return [...help.matchAll(/^ {2}\$ shoredoor ([a-z]+) --help$/gm)].map((match) => match[1]!);
}

function temporaryFile(name: string, text: string): string {
  const file = join(mkdtempSync(join(tmpdir(), 'shoredoor-cli-')), name);
  writeFileSync(file, text);
  return file;
}

describe('the help', () => {
  const commands = readdirSync(HELP_FOLDER).map((name) => name.replace('.txt', ''));

  it('names the recorded commands', async () => {
    const { out } = await shoredoor(['--help']);
    expect(commandsIn(out).sort()).to.deep.equal(commands.filter((name) => name !== 'shoredoor'));
  });

  for (const command of commands) {
    it(`is as recorded: ${command}`, async () => {
      const args = command === 'shoredoor' ? ['--help'] : [command, '--help'];
      const { code, out } = await shoredoor(args);
      const recorded = readFileSync(join(HELP_FOLDER, `${command}.txt`), 'utf8');
      expect(code).to.equal(0);
      expect(out).to.match(VERSION_TEXT);
      expect(out.replace(VERSION_TEXT, 'shoredoor/VERSION')).to.equal(recorded);
    });
  }
});

describe('the exit codes', () => {
  it('are those of the reference page', () => {
    expect(Object.values(EXIT_CODES)).to.deep.equal([0, 1, 2, 3, 4, 5, 6]);
    const page = readFileSync('docs/reference/exit-codes.md', 'utf8');
    const codes = [...page.matchAll(/^\| (\d+) /gm)].map((match) => Number(match[1]));
    expect(codes).to.deep.equal([0, 1, 2, 3, 4, 5, 6]);
  });

  const token = { SHOREDOOR_TOKEN: 'token-of-nobody' };
  const control = ['--control', UNREACHABLE_ORIGIN];
  const cases: { args: string[]; variables?: Record<string, string>; code: number; err: string }[] =
    [
      { args: ['version'], code: 0, err: '' },
      { args: ['--version'], code: 0, err: '' },
      { args: [], code: 2, err: 'shoredoor: a command is needed; see --help\n' },
      { args: ['go'], code: 2, err: "shoredoor: unknown command 'go'\n" },
      { args: ['status', '--colour'], code: 2, err: 'shoredoor: Unknown option `--colour`\n' },
      {
        args: ['delete', 'Service'],
        code: 2,
        err: 'shoredoor: missing required args for command `delete <kind> <name>`\n',
      },
      { args: ['apply'], code: 2, err: 'shoredoor: apply needs -f FILE-OR-FOLDER\n' },
      { args: ['diff'], code: 2, err: 'shoredoor: diff needs -f FILE-OR-FOLDER\n' },
      { args: ['validate'], code: 2, err: 'shoredoor: validate needs -f FILE-OR-FOLDER\n' },
      {
        args: ['validate', '-f', '/nowhere'],
        code: 2,
        err: 'shoredoor: declarations cannot be read\n  /nowhere: no such file or folder\n',
      },
      {
        args: ['status'],
        code: 2,
        err: 'shoredoor: --control or SHOREDOOR_CONTROL must name at least one replica\n',
      },
      {
        args: ['status', ...control],
        code: 2,
        err: 'shoredoor: --token-file or SHOREDOOR_TOKEN must give the access token\n',
      },
      {
        args: ['status'],
        variables: { ...token, SHOREDOOR_CONTROL: UNREACHABLE_ORIGIN },
        code: 4,
        err: UNREACHABLE_ERROR,
      },
      {
        args: ['delete', 'Route', 'x', ...control],
        variables: token,
        code: 2,
        err: 'shoredoor: kind must be one of: Service, Policy\n',
      },
      {
        args: ['delete', 'Service', 'x', ...control],
        variables: token,
        code: 4,
        err: UNREACHABLE_ERROR,
      },
      {
        args: ['edge', '--config', '/nowhere'],
        code: 2,
        err: 'shoredoor: /nowhere is not valid\n  (document): cannot be read: ENOENT\n',
      },
      {
        args: ['control', '--set', 'zone'],
        code: 2,
        err: "shoredoor: flags are not valid\n  --set: 'zone' must be PATH=VALUE\n",
      },
    ];
  for (const { args, variables, code, err } of cases) {
    it(`are as recorded: shoredoor ${args.join(' ')} (${code})`, async () => {
      const ended = await shoredoor(args, variables);
      expect({ code: ended.code, err: ended.err }).to.deep.equal({ code, err });
    });
  }
});

describe('the commands of operators', function () {
  this.timeout(60_000);
  const cleanup = new Cleanup();
  afterEach(() => cleanup.run());

  it('end with the recorded exit codes against a store', async () => {
    const control = await startTestControl(cleanup);
    await untilReady(control);
    const tokenFile = temporaryFile('token', `${OPERATOR_TOKEN}\n`);
    const access = ['--control', control.origins.listen!, '--token-file', tokenFile];
    const wrongToken = ['--control', control.origins.listen!, '--token-file', '/dev/null'];
    const service = (connections: number): string =>
      stringify({ kind: 'Service', name: 'ledger', spec: { connections } });
    const first = temporaryFile('service.yaml', service(5));
    const second = temporaryFile('service.yaml', service(6));
    const codes: [number, string[]][] = [
      [5, ['diff', '-f', first, ...access]],
      [0, ['apply', '-f', first, '--dry-run', ...access]],
      [5, ['diff', '-f', first, ...access]],
      [0, ['apply', '-f', first, ...access]],
      [0, ['diff', '-f', first, ...access]],
      [5, ['diff', '-f', second, ...access]],
      [0, ['apply', '-f', second, '--change-prefix', 'run-1', ...access]],
      [0, ['apply', '-f', second, '--change-prefix', 'run-1', ...access]],
      [1, ['apply', '-f', first, '--change-prefix', 'run-1', ...access]],
      [0, ['get', ...access]],
      [0, ['get', 'service', 'ledger', '--output', 'json', ...access]],
      [1, ['get', 'Service', 'nothing', ...access]],
      [2, ['get', 'Colour', ...access]],
      [2, ['get', '--output', 'xml', ...access]],
      [0, ['status', ...access]],
      [1, ['status', ...wrongToken]],
      [0, ['validate', '-f', first]],
      [3, ['delete', 'Service', 'ledger', '--if-version', '99', ...access]],
      [0, ['delete', 'Service', 'ledger', '--change-id', 'change-1', ...access]],
      [0, ['delete', 'Service', 'ledger', '--change-id', 'change-1', ...access]],
      [1, ['delete', 'Service', 'ledger', ...access]],
    ];
    for (const [code, args] of codes) {
      const ended = await shoredoor(args);
      expect([ended.code, args]).to.deep.equal([code, args]);
    }
  });
});

describe('the commands that run a program', function () {
  this.timeout(30_000);
  const any = '127.0.0.1:0';
  const common = { id: 'one', zone: 'zone-a', admin: any, linkToken: 'link-token-0123456789' };
  const stop = { drainMs: 0, timeoutMs: 0 };
  const follower = { ...common, control: [UNREACHABLE_ORIGIN], stop };
  const programs: Record<string, { settings: unknown; origins: string[] }> = {
    edge: { settings: { ...follower, listen: any }, origins: ['admin', 'listen'] },
    node: {
      settings: {
        ...follower,
        service: 'ledger',
        inbound: any,
        outbound: any,
        target: { origin: UNREACHABLE_ORIGIN },
      },
      origins: ['admin', 'inbound', 'outbound'],
    },
    sidecar: {
      settings: { ...follower, service: 'ledger', inbound: any, outbound: any, registration: any },
      origins: ['admin', 'inbound', 'outbound', 'registration'],
    },
    control: {
      settings: {
        ...common,
        listen: any,
        dataDir: join(mkdtempSync(join(tmpdir(), 'shoredoor-cli-')), 'data'),
        seeds: [UNREACHABLE_ORIGIN],
        advertise: UNREACHABLE_ORIGIN,
      },
      origins: ['admin', 'listen'],
    },
  };

  for (const [program, { settings, origins }] of Object.entries(programs)) {
    it(`say which addresses they have, and end with 0 when they are told to: ${program}`, async () => {
      const file = temporaryFile('settings.yaml', stringify(settings));
      const child = spawn(process.execPath, [productScript(), program, '--config', file]);
      const ended = once(child, 'exit');
      let announced: unknown;
      for await (const line of createInterface(child.stdout)) {
        const message = JSON.parse(line) as { id?: string; origins?: object };
        if (message.origins === undefined) continue;
        announced = { id: message.id, origins: Object.keys(message.origins).sort() };
        child.kill('SIGTERM');
      }
      expect(announced).to.deep.equal({ id: 'one', origins });
      expect(await ended).to.deep.equal([0, null]);
    });
  }
});
