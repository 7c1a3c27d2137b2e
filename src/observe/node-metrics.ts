/** The metrics registry of a node or sidecar: inbound and outbound calls, admission and configuration. */
import type { Registry } from 'prom-client';
import type { AdmissionController } from '../admission/admission-controller.js';
import type { CallStats } from '../call/call-stats.js';
import { createMetricsRegistry } from './admin-server.js';
import { registerAdmissionMetrics } from './admission-metrics.js';
import type { Follower } from '../follower/follower.js';
import { registerCallMetrics } from './call-metrics.js';
import { registerFollowerMetrics } from './follower-metrics.js';

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
