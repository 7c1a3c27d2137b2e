/**
 * The metrics of a process beside a target: its calls in both directions, its gate's load, and how far
 * behind its configuration is. Relies on the modules of each group of metrics in this folder.
 */
import type { Registry } from 'prom-client';
import type { AdmissionController } from '../admission/admission-controller.js';
import type { CallStats } from '../call/call-stats.js';
import { createMetricsRegistry } from './admin-server.js';
import { registerAdmissionMetrics } from './admission-metrics.js';
import type { Follower } from '../follower/follower.js';
import { registerCallMetrics } from './call-metrics.js';
import { registerFollowerMetrics } from './follower-metrics.js';

/** A registry with the process's own metrics, its calls, its admission and its follower. */
export function createNodeMetrics(
  inbound: CallStats,
  outbound: CallStats,
  admission: AdmissionController,
  follower: Follower,
): Registry {
  const metrics = createMetricsRegistry();
  registerCallMetrics(metrics, inbound, 'inbound');
  registerCallMetrics(metrics, outbound, 'outbound');
  registerAdmissionMetrics(metrics, admission);
  registerFollowerMetrics(metrics, follower);
  return metrics;
}
