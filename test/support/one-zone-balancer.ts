/** Creates a balancer over a few ready nodes in the caller's zone. */
import type { Clock } from '../../src/common/clock.js';
import type { RandomSource } from '../../src/common/random.js';
import { Balancer } from '../../src/routing/balancer.js';

const FIRST_PORT = 7_000;

export function oneZoneBalancer(clock: Clock, random: RandomSource, nodes = 3): Balancer {
  const zone = 'a';
  const balancer = new Balancer({
    clock,
    random,
    callerId: 'caller',
    callerZone: zone,
    slowStartMs: () => 0,
  });
  const records = Array.from({ length: nodes }, (_, index) => ({
    id: `n${index}`,
    incarnation: 1,
    service: 'ledger',
    zone,
    origin: `http://127.0.0.1:${FIRST_PORT + index}`,
    state: 'ready' as const,
  }));
  balancer.update(records);
  return balancer;
}
