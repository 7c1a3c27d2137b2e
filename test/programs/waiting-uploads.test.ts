/**
 * Guards against an upload that ends while it waits for admission and harms others: the end of the process beside its target,
 * a request with an incomplete body at the target, or a connection that is lost or blocked after the final response.
 */
import { expect } from 'chai';
import { Agent, request, type ClientRequest } from 'node:http';
import { PassThrough } from 'node:stream';
import type { Outcome } from '../../src/call/outcome.js';
import { LinkPool } from '../../src/link/link-pool.js';
import { IGNORE_RESPONSE, LINK_CALL_CONTEXT } from '../support/link-call.js';
import { LONE_LINK_TOKEN } from '../support/lone-control.js';
import {
  MAX_BODY_BYTES,
  UPLOAD_HOST,
  UPLOAD_PATH,
  UPLOAD_SERVICE,
  UploadFleet,
} from '../support/upload-fleet.js';
import { until } from '../support/processes.js';

/** Larger than the part that the ingress buffers, and larger than the window of a link. */
const UPLOAD_BYTES = 900_000;
const NOT_RUN_STATUSES = [408, 421, 429, 503];
/** Time for a request that should not arrive at the target, in milliseconds. */
const ARRIVAL_MS = 200;

interface UploadOptions {
  readonly isChunked?: boolean;
  readonly deadlineMs?: number;
  /** Bytes that are sent at first. The whole body by default. */
  readonly firstBytes?: number;
}

/** An upload and its client, which keeps the connection for its next request. */
class Upload {
  /** Status of the response; 0 if the connection ended without a complete one. */
  readonly status: Promise<number>;
  readonly sent: ClientRequest;
  readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });

  constructor(
    private readonly origin: string,
    readonly id: string,
    { isChunked = false, deadlineMs = 5_000, firstBytes = UPLOAD_BYTES }: UploadOptions = {},
  ) {
    const length = isChunked
      ? { 'transfer-encoding': 'chunked' }
      : { 'content-length': UPLOAD_BYTES };
    [this.sent, this.status] = this.open(id, { ...length, 'x-request-timeout-ms': deadlineMs });
    this.sent.write(Buffer.alloc(firstBytes, 'u'));
    if (firstBytes === UPLOAD_BYTES) this.sent.end();
  }

  /** Sends another request. @returns whether it got a response on the connection of the upload */
  async canReuseConnection(): Promise<boolean> {
    const [next, status] = this.open(`${this.id}-next`, {});
    next.end('a short body');
    return (await status) !== 0 && next.socket === this.sent.socket;
  }

  private open(id: string, headers: object): [ClientRequest, Promise<number>] {
    const sent = request(`${this.origin}${UPLOAD_PATH}`, {
      agent: this.agent,
      method: 'POST',
      headers: { host: UPLOAD_HOST, 'x-request-id': id, ...headers },
    });
    const status = new Promise<number>((resolve) => {
      sent.on('response', (response) => {
        response.resume();
        response.on('end', () => resolve(response.statusCode ?? 0));
        response.on('error', () => resolve(0));
      });
      sent.on('error', () => resolve(0));
    });
    return [sent, status];
  }
}

let nextId = 0;

/** Starts an upload and waits until the gate has queued it. */
async function startUpload(fleet: UploadFleet, options?: UploadOptions): Promise<Upload> {
  const upload = new Upload(fleet.origin, `upload-${(nextId += 1)}`, options);
  await until(async () => (await fleet.waiting()) === 1);
  return upload;
}

describe('an upload that waits for admission', function () {
  this.timeout(20_000);
  let fleet: UploadFleet;

  before(async () => {
    fleet = await UploadFleet.start();
  });

  beforeEach(() => fleet.occupySlot());

  afterEach(() => fleet.target.release());

  after(() => fleet.end());

  /** Checks that the upload does not reach the target once that is free again, and that others do. */
  async function expectNotSent({ id }: Upload): Promise<void> {
    fleet.target.release();
    await until(async () => (await fleet.sendSmall('after')) === 200);
    await new Promise((resolve) => setTimeout(resolve, ARRIVAL_MS));
    expect(fleet.target.arrived).not.to.include(id);
  }

  it('reaches its target completely after the wait', async () => {
    const upload = await startUpload(fleet);
    fleet.target.release();
    expect(await upload.status).to.equal(200);
    expect(fleet.target.bodyBytes.get(upload.id)).to.equal(UPLOAD_BYTES);
  });

  it('is not sent after its client has left', async () => {
    const upload = await startUpload(fleet);
    upload.sent.destroy();
    await until(async () => (await fleet.waiting()) === 0);
    await expectNotSent(upload);
  });

  it('is not sent after its client has left in the middle of the body', async () => {
    const upload = await startUpload(fleet, { firstBytes: 100_000 });
    upload.sent.destroy();
    await until(async () => (await fleet.waiting()) === 0);
    await expectNotSent(upload);
  });

  it('is not sent after its body has become invalid', async () => {
    const upload = await startUpload(fleet, { isChunked: true, firstBytes: 100_000 });
    upload.sent.socket!.write('not a chunk\r\n');
    await until(async () => (await fleet.waiting()) === 0);
    await expectNotSent(upload);
  });

  it('is not sent after its body has exceeded the maximum size', async () => {
    const upload = await startUpload(fleet, { isChunked: true, firstBytes: 100_000 });
    upload.sent.end(Buffer.alloc(MAX_BODY_BYTES, 'u'));
    await until(async () => (await fleet.waiting()) === 0);
    await expectNotSent(upload);
  });

  it('is refused as not run when the ingress reports its body as incomplete', async () => {
    const ingress = new LinkPool(LONE_LINK_TOKEN);
    const body = new PassThrough();
    const context = { ...LINK_CALL_CONTEXT, service: UPLOAD_SERVICE };
    const refused = new Promise<Outcome>((resolve) => {
      const frame = { context, method: 'POST', path: UPLOAD_PATH, headers: [], body };
      ingress.call(fleet.link.origin, frame, { ...IGNORE_RESPONSE, onRefused: resolve });
    });
    body.write('the first part');
    await until(async () => (await fleet.waiting()) === 1);
    body.destroy(new Error('the client left'));
    const { verdict, refusal } = await refused;
    ingress.destroy();
    expect({ verdict, refusal }).to.deep.equal({ verdict: 'not-run', refusal: 'bad-request' });
    expect(await fleet.waiting()).to.equal(0);
  });

  it('gets a final response when the link to the gate is reset', async () => {
    const upload = await startUpload(fleet);
    fleet.link.reset();
    expect(await upload.status).to.be.oneOf([502, 503, 504]);
    await expectNotSent(upload);
  });

  it('gets a final response when the link to the gate falls silent', async () => {
    const upload = await startUpload(fleet);
    fleet.link.silence({ toServer: true, toClient: true });
    expect(await upload.status).to.be.oneOf([502, 503, 504]);
    await expectNotSent(upload);
  });

  for (const firstBytes of [100_000, UPLOAD_BYTES]) {
    const sent = firstBytes === UPLOAD_BYTES ? 'the whole' : 'a part of the';
    it(`gets a final response at its deadline after ${sent} body was sent`, async () => {
      const upload = await startUpload(fleet, { deadlineMs: 600, firstBytes });
      expect(await upload.status).to.be.oneOf([503, 504]);
      upload.sent.end(Buffer.alloc(UPLOAD_BYTES - firstBytes, 'u'));
      fleet.target.release();
      expect(await upload.canReuseConnection()).to.equal(true);
      await expectNotSent(upload);
    });
  }
});

describe('an upload that waits for admission as its gate or target ends', function () {
  this.timeout(20_000);
  let fleet: UploadFleet;

  beforeEach(async () => {
    fleet = await UploadFleet.start();
    await fleet.occupySlot();
  });

  afterEach(async () => {
    fleet.target.release();
    await fleet.end();
  });

  it('gets a final response when the gate stops', async () => {
    const upload = await startUpload(fleet);
    await Promise.all([
      fleet.gate.stop(),
      upload.status.then((status) => expect(status).to.be.oneOf(NOT_RUN_STATUSES)),
    ]);
    expect(fleet.target.arrived).not.to.include(upload.id);
  });

  it('gets a final response when the target goes', async () => {
    const upload = await startUpload(fleet);
    fleet.target.stop();
    expect(await upload.status).to.be.oneOf([502, 503, 504]);
    expect(fleet.target.arrived).not.to.include(upload.id);
  });

  it('may be abandoned while the target goes', async () => {
    const uploads = Array.from({ length: 10 }, (_, index) => {
      return new Upload(fleet.origin, `leaves-${index}`);
    });
    await until(async () => (await fleet.waiting()) === uploads.length);
    fleet.target.stop();
    for (const { sent } of uploads) {
      await new Promise((resolve) => setTimeout(resolve, 1));
      sent.destroy();
    }
    await until(async () => (await fleet.waiting()) === 0);
  });
});
