/**
 * Distributes the requests of a route over its backends in proportion to their weights, with the smooth weighted round
 * robin of nginx: after any number of requests, each backend is within one request of its share. Each process starts the
 * sequence of a route at a random point, so that processes that start at the same time don't choose the same backends.
 */
import type { RandomSource } from '../common/random.js';
import type { Backend, Route } from '../policy/route-table.js';

interface Sequence {
  /** Backends and weights that the sequence was created for. */
  readonly weights: string;
  readonly total: number;
  readonly credits: number[];
}

export class WeightedSplit {
  private readonly sequences = new Map<string, Sequence>();

  constructor(private readonly random: RandomSource) {}

  /** Returns the service for the next request on `route`. */
  next(route: Route): string {
    const { backends } = route;
    if (backends.length === 1) return backends[0]!.service;
    const { credits, total } = this.sequence(route);
    let best = 0;
    backends.forEach((backend, index) => {
      credits[index] = credits[index]! + backend.weight;
      if (credits[index] > credits[best]!) best = index;
    });
    credits[best] = credits[best]! - total;
    return backends[best]!.service;
  }

  private sequence(route: Route): Sequence {
    const weights = weightsOf(route.backends);
    const existing = this.sequences.get(route.name);
    if (existing?.weights === weights) return existing;
    const total = route.backends.reduce((sum, backend) => sum + backend.weight, 0);
    const credits = route.backends.map((backend) => backend.weight * this.random.next());
    const created: Sequence = { weights, total, credits };
    this.sequences.set(route.name, created);
    return created;
  }
}

function weightsOf(backends: readonly Backend[]): string {
  return backends.map((backend) => `${backend.service}=${backend.weight}`).join(' ');
}
