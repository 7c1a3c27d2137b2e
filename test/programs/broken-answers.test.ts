import { expect } from 'chai';
import {
  CUT_BODIES,
  CUT_HEADS,
  ENDS,
  INVALID_BEFORE_SOUND,
  INVALID_STATUSES,
  scriptOf,
  UNFRAMED_BODIES,
} from '../support/broken-answers.js';
import { DEADLINE_MS, FRONTS, NODE_GATE, type Front } from '../support/fronts-of-target.js';
import { Cleanup, until } from '../support/processes.js';
import type { RawAnswer, RawRequest } from '../support/raw-exchange.js';
import { answer, type Script } from '../support/scripted-target.js';

const SOUND: Script = (socket, { id }) => socket.write(answer(id, 'whole'));
const BAD_GATEWAY = 502;

const REQUESTS: Readonly<Record<string, RawRequest>> = {
  'a request': { method: 'GET', version: '1.1' },
  'a request of version 1.0': { method: 'GET', version: '1.0' },
  'a HEAD request': { method: 'HEAD', version: '1.1' },
  'a request with a body': { method: 'POST', version: '1.1', body: 'with a length' },
  'a request with a body in chunks': { method: 'POST', version: '1.1', body: 'in chunks' },
};
const UPLOAD = REQUESTS['a request with a body']!;

interface Played extends RawAnswer {
  readonly tookMs: number;
}

/** Guards against answers that a target did not finish and that a client takes for whole ones, or never gets a status for. */
for (const [name, start] of Object.entries({ ...FRONTS, ...NODE_GATE })) {
  describe(`a broken answer through ${name}`, function () {
    this.timeout(60_000);
    const cleanup = new Cleanup();
    let front: Front;

    before(async () => {
      front = await start(cleanup);
      await recover();
    });

    after(() => cleanup.run());

    /** Waits until the requests to a sound target are answered again. */
    async function recover(): Promise<void> {
      front.target.script = SOUND;
      await until(async () => (await front.send(UPLOAD)).status === 200);
    }

    /** Sends a request whose answer is the script's; the target is asked at least once. */
    async function play(script: Script, sent: RawRequest): Promise<Played> {
      for (;;) {
        front.target.script = script;
        front.target.arrived.length = 0;
        const startedAt = performance.now();
        const played = await front.send(sent);
        const tookMs = performance.now() - startedAt;
        const hasArrived = front.target.arrived.length > 0;
        await recover();
        if (hasArrived) return { ...played, tookMs };
      }
    }

    function failsWith502(played: Played): boolean {
      return played.status === BAD_GATEWAY && played.looksWhole && played.tookMs < DEADLINE_MS / 2;
    }

    it('is none where interim answers precede a whole one', async () => {
      const interim = 'HTTP/1.1 103 Early Hints\r\nx-request-id: other\r\n\r\n';
      const played = await play(
        (socket, { id }) => socket.write(`${interim}${answer(id, 'whole')}`),
        UPLOAD,
      );
      expect(played).to.include({ status: 200, body: 'whole', looksWhole: true });
    });

    for (const [request, sent] of Object.entries(REQUESTS)) {
      it(`is a failure where it has no valid status, for ${request}`, async () => {
        const passed: string[] = [];
        for (const [what, script] of Object.entries({
          ...INVALID_STATUSES,
          ...INVALID_BEFORE_SOUND,
        })) {
          const played = await play(script, sent);
          if (!failsWith502(played)) passed.push(`${what}: ${describeAnswer(played)}`);
        }
        expect(passed).to.deep.equal([]);
      });

      for (const [endName, end] of Object.entries(ENDS)) {
        it(`is a failure where its head stops and the target ${endName}, for ${request}`, async () => {
          const passed: string[] = [];
          for (const [what, text] of Object.entries(CUT_HEADS)) {
            const played = await play(scriptOf(text, end), sent);
            if (!failsWith502(played)) passed.push(`${what}: ${describeAnswer(played)}`);
          }
          expect(passed).to.deep.equal([]);
        });

        if (sent.method === 'HEAD') continue;

        it(`never looks whole where its body stops and the target ${endName}, for ${request}`, async () => {
          const isReset = endName.startsWith('resets');
          const passed: string[] = [];
          const bodies = { ...CUT_BODIES, ...(isReset && UNFRAMED_BODIES) };
          for (const [what, text] of Object.entries(bodies)) {
            const played = await play(scriptOf(text, end), sent);
            const mayBeSilent = name in NODE_GATE && played.status === 0;
            const isCut = !played.looksWhole && (played.status === 200 || mayBeSilent);
            if (!isCut && !failsWith502(played)) passed.push(`${what}: ${describeAnswer(played)}`);
          }
          expect(passed).to.deep.equal([]);
        });
      }
    }
  });
}

function describeAnswer({ status, looksWhole, body, tookMs }: Played): string {
  return `status ${status}, ${looksWhole ? 'whole' : 'cut'}, '${body.slice(0, 20)}', ${Math.round(tookMs / 100) / 10} s`;
}
