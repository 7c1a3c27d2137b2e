/**
 * Uploads wait at the gates of a busy service, and some of their clients leave meanwhile. The sidecars beside the targets
 * must go on. Exits with 1 if processes ended by themselves as rule Fault forbids, 0 if not, 2 if the case couldn't run.
 */
import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';
import { keptConnections, send } from '../lib/client.mjs';
import { Deployment } from '../lib/deployment.mjs';
import { Record } from '../lib/record.mjs';
import { runCase } from '../lib/run-case.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const HOST = 'shop.example';
const DEADLINE_MS = 5_000;
const OBJECTIVE_MS = 1_500;
/** How long clients send, in milliseconds: twice the 5.5 s that the site file has for give_up. */
const DURATION_MS = 11_000;
/** Uploads a second, from all clients: somewhat more than the two targets of the service can run. */
const UPLOADS_PER_S = 24;
const UPLOAD = Buffer.alloc(200_000, 'u');
/** Share of the upload clients that leave early, and their longest wait, in milliseconds: give_up. */
const LEAVING_SHARE = 0.2;
const LEAVE_WITHIN_MS = 350;
/** Ends of processes that the rule forbids, and on how many machines at least. */
const FORBIDDEN_ENDS = 3;
const LEAST_MACHINES = 2;

const ROUTES = [
  { name: 'upload', spec: route('/upload/', 'once', 'intake') },
  { name: 'view', spec: route('/view/', 'repeatable', 'viewer') },
];

function route(
  /** @type {string} */ pathPrefix,
  /** @type {string} */ semantics,
  /** @type {string} */ service,
) {
  const limits = { timeoutMs: DEADLINE_MS, objectiveMs: OBJECTIVE_MS, rank: 0, maxTargets: 2 };
  return { host: HOST, pathPrefix, semantics, service, ...limits };
}

const record = new Record(fileURLToPath(new URL('record.txt', import.meta.url)));
const deployment = new Deployment(record);
let nextId = 0;

/** Sends one upload to a machine; with trouble, some clients leave early. */
async function upload(/** @type {string} */ to) {
  const id = `upload-${(nextId += 1)}`;
  const leaves = HAS_TROUBLE && Math.random() < LEAVING_SHARE;
  const leaveAfterMs = leaves ? Math.random() * LEAVE_WITHIN_MS : undefined;
  record.add(
    `SENT ${id} ${UPLOAD.length} bytes${leaves ? `, leaves after ${Math.round(leaveAfterMs ?? 0)} ms` : ''}`,
  );
  const answer = await send({
    to,
    host: HOST,
    path: '/upload/1',
    method: 'POST',
    id,
    deadlineMs: DEADLINE_MS,
    body: UPLOAD,
    leaveAfterMs,
  });
  record.add(`ANSWERED ${id} ${answer.status} ${answer.end}`);
}

/** A client with a kept connection that sends one request after the other. */
async function view(/** @type {string} */ to, /** @type {number} */ until) {
  const agent = keptConnections();
  while (performance.now() < until) {
    const id = `view-${(nextId += 1)}`;
    record.add(`SENT ${id}`);
    const answer = await send({
      to,
      host: HOST,
      path: '/view/1',
      method: 'GET',
      id,
      deadlineMs: DEADLINE_MS,
      agent,
    });
    record.add(`ANSWERED ${id} ${answer.status} ${answer.end}`);
    if (answer.end.startsWith('no answer') && hasRun(id)) lost.push(id);
    if (answer.status === 0) await sleep(200);
  }
  agent.destroy();
}

/** Requests from kept connections that were passed on to a target, and whose connection was closed without an answer. */
const lost = /** @type {string[]} */ ([]);

function hasRun(/** @type {string} */ id) {
  return deployment.machines.some(({ target }) => target.runs.has(id));
}

async function play() {
  await deployment.startControl(3);
  for (const service of ['intake', 'intake', 'viewer', 'viewer']) {
    await deployment.addMachine(service, {
      slots: 4,
      queue: 8,
      workMs: service === 'intake' ? 400 : 150,
    });
  }
  await deployment.declare(ROUTES);
  await deployment.untilReady();
  await sleep(2_000);
  const until = performance.now() + DURATION_MS;
  const sent = deployment.machines.map(({ outbound }) => view(outbound, until));
  // All clients that leave are on the machines of the other service: nothing is disturbed at the targets' machines.
  const machines = deployment.machines.filter(({ target }) => target.options.service === 'viewer');
  for (let number = 0; performance.now() < until; number += 1) {
    const machine = machines[number % machines.length];
    sent.push(upload(machine?.outbound ?? ''));
    await sleep(1_000 / UPLOADS_PER_S);
  }
  await Promise.all(sent);
}

function judge() {
  const programs = [...deployment.cores, ...deployment.machines.map(({ sidecar }) => sidecar)];
  const ended = programs.filter(({ ownEnds }) => ownEnds > 0);
  const ends = ended.reduce((sum, { ownEnds }) => sum + ownEnds, 0);
  const isBroken = ends >= FORBIDDEN_ENDS && ended.length >= LEAST_MACHINES;
  record.add(
    `RESULT processes ended by themselves ${ends} times on ${ended.length} machines; ${lost.length} requests of kept connections were run and got no answer`,
  );
  return isBroken;
}

async function run() {
  await play();
  return judge();
}

await runCase({ record, deployment, rule: 'Fault', run });
