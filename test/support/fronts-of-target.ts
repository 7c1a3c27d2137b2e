/**
 * The programs through which a request can reach a target: ingress and gate of sidecars, an edge and a node, and both sides
 * of nodes. All of them run inside the test process, with one scripted target each.
 */
import { request } from 'undici';
import { SILENT_LOGGER } from '../../src/common/logger.js';
import type { PolicyResource } from '../../src/policy/resource-schema.js';
import { startSidecar } from '../../src/programs/sidecar-program.js';
import { declareFirstSet, startLoneControl } from './lone-control.js';
import {
  operatorClient,
  startTarget,
  startTestControl,
  startTestEdge,
  startTestNode,
  until,
  untilReady,
  type Cleanup,
} from './processes.js';
import { exchange, type RawAnswer, type RawRequest } from './raw-exchange.js';
import { ScriptedTarget } from './scripted-target.js';
import { sidecarSettings } from './sidecar-settings.js';

const HOST = 'shop.example';
const REPORT_INTERVAL_MS = 500;
/** Default deadline of the requests, in milliseconds. */
export const DEADLINE_MS = 2_000;

/** A way to a target. */
export interface Front {
  readonly target: ScriptedTarget;
  send(sent: RawRequest): Promise<RawAnswer>;
}

/** Starts the programs of one way to a target. @param deadlineMs of the requests; default {@link DEADLINE_MS} */
export type FrontStart = (cleanup: Cleanup, deadlineMs?: number) => Promise<Front>;

let nextId = 0;

function frontOf(target: ScriptedTarget, origin: string, host: string): Front {
  return {
    target,
    send: (sent) =>
      exchange(origin, '/front/1', sent, { host, 'x-request-id': `q-${(nextId += 1)}` }),
  };
}

async function startScripted(cleanup: Cleanup): Promise<ScriptedTarget> {
  const target = await ScriptedTarget.start();
  cleanup.add(() => target.stop());
  return target;
}

/** A sidecar: its ingress sends the requests to its own gate. */
async function startSidecarFront(cleanup: Cleanup, deadlineMs = DEADLINE_MS): Promise<Front> {
  const target = await startScripted(cleanup);
  const control = await startLoneControl(cleanup);
  const sidecar = await startSidecar(
    sidecarSettings(control.origins.listen, {
      service: 'front',
      stop: { drainMs: 0, timeoutMs: 0 },
    }),
    SILENT_LOGGER,
  );
  cleanup.add(() => sidecar.stop());
  const place = { host: HOST, pathPrefix: '/front/', semantics: 'once', service: 'front' };
  const limits = { timeoutMs: deadlineMs, objectiveMs: deadlineMs / 2, rank: 0, maxTargets: 1 };
  const resources = [
    { kind: 'Route', name: 'front', spec: { ...place, ...limits } },
    { kind: 'Service', name: 'front', spec: { connections: 8 } },
  ];
  await until(() => declareFirstSet(control.origins.listen, resources));
  let sequence = 0;
  const report = async (): Promise<void> => {
    sequence += 1;
    const state = { service: 'front', address: target.address, slots: 8, state: 'ready' };
    const { body } = await request(`${sidecar.origins.registration}/v1/instances/i-front`, {
      method: 'PUT',
      body: JSON.stringify({ ...state, sequence }),
    });
    await body.dump();
  };
  await report();
  const timer = setInterval(() => void report(), REPORT_INTERVAL_MS);
  cleanup.add(() => clearInterval(timer));
  return frontOf(target, sidecar.origins.outbound!, HOST);
}

function policy(deadlineMs: number): PolicyResource {
  const kind = (name: string, method: 'GET' | 'HEAD' | 'POST', service: string) => ({
    name: `${service}-${name}`,
    service,
    match: [{ method, path: `/${service}/{id}` }],
    importance: 'normal' as const,
    repeatable: false,
    internal: false,
    deadlineMs,
  });
  return {
    kind: 'Policy',
    name: 'shop',
    spec: {
      groups: [{ name: 'public', share: 1, keyHashes: [] }],
      defaultGroup: 'public',
      kinds: [
        kind('read', 'GET', 'front'),
        kind('head', 'HEAD', 'front'),
        kind('place', 'POST', 'front'),
      ],
      retry: { allowance: 0, ratio: 0 },
    },
  };
}

async function startEdgeFront(cleanup: Cleanup, deadlineMs = DEADLINE_MS): Promise<Front> {
  const control = await startTestControl(cleanup);
  await operatorClient(control).put(policy(deadlineMs), { changeId: 'first' });
  const target = await startScripted(cleanup);
  await startTestNode(cleanup, control, 'front', `http://${target.address}`);
  const edge = await startTestEdge(cleanup, control);
  await untilReady(edge);
  return frontOf(target, edge.origins.listen!, HOST);
}

/** A node beside another target: that target's calls go through the outgoing side of its node. */
async function startNodeFront(cleanup: Cleanup, deadlineMs = DEADLINE_MS): Promise<Front> {
  const control = await startTestControl(cleanup);
  await operatorClient(control).put(policy(deadlineMs), { changeId: 'first' });
  const target = await startScripted(cleanup);
  await startTestNode(cleanup, control, 'front', `http://${target.address}`);
  const caller = await startTarget(cleanup, (_message, response) => response.end());
  const node = await startTestNode(cleanup, control, 'caller', caller);
  await untilReady(node);
  return frontOf(target, node.origins.outbound!, 'front');
}

/** The incoming side of a node alone, for callers without a link token. */
async function startNodeGateFront(cleanup: Cleanup, deadlineMs = DEADLINE_MS): Promise<Front> {
  const control = await startTestControl(cleanup);
  await operatorClient(control).put(policy(deadlineMs), { changeId: 'first' });
  const target = await startScripted(cleanup);
  const node = await startTestNode(cleanup, control, 'front', `http://${target.address}`);
  await untilReady(node);
  return frontOf(target, node.origins.inbound!, 'front');
}

/** All ways to a target on which the process beside the client writes its answer. */
export const FRONTS: Readonly<Record<string, FrontStart>> = {
  'ingress and gate': startSidecarFront,
  'edge and node': startEdgeFront,
  'both sides of nodes': startNodeFront,
};

/** The incoming side of a node alone: it closes the connection of a caller whose answer breaks off. */
export const NODE_GATE = { 'the incoming side of a node': startNodeGateFront };
