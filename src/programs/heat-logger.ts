/** Logs when a group reaches its limit at this ingress and when it is within it again. */
import type { Logger } from '../common/logger.js';
import { IMPORTANCE_NAMES } from '../policy/importance.js';
import type { CountsByImportance, HeatEvent } from '../quota/heat-recorder.js';

/** Each group causes at most one pair of lines per quota window. */
export function logHeat(logger: Logger, event: HeatEvent): void {
  const { group } = event;
  if (event.type === 'at-limit') {
    const { allowance, offered } = event;
    logger.info('A group is at its limit; its permits go to urgent kinds first.', {
      group,
      allowance,
      offered,
    });
    return;
  }
  logger.info('A group is within its limit again.', {
    group,
    durationMs: Math.round(event.durationMs),
    offered: byName(event.offered),
    refused: byName(event.refused),
  });
}

function byName(counts: CountsByImportance): Record<string, number> {
  return Object.fromEntries(IMPORTANCE_NAMES.map((name, index) => [name, counts[index]!]));
}
