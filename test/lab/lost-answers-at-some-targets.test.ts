/** Some targets of a service that others call lose two fifths of their answers, for a few seconds, while there is room. */
import { expect } from 'chai';
import { UNEVEN_TARGETS_GRAPH } from '../../lab/simulator/sidecars/uneven-targets-graph.js';
import { SidecarWorld } from '../../lab/simulator/sidecars/sidecar-world.js';

const CREDIT = UNEVEN_TARGETS_GRAPH.services.find(({ name }) => name === 'credit')!;
const LOSING_TARGETS = 4;
const LOST_PART = 0.4;
const FACTOR = 0.5;
const LOSSES = {
  rejectedPart: 0,
  lostPart: LOST_PART,
  faultyPart: LOSING_TARGETS / CREDIT.targets,
};
const PHASES = [
  { durationMs: 2_000, factor: FACTOR },
  { durationMs: 4_000, factor: FACTOR, faults: { [CREDIT.name]: LOSSES } },
];
/** Part of the calls that fails if they are spread evenly over all targets. */
const EVENLY_FAILED = (LOSING_TARGETS / CREDIT.targets) * LOST_PART;

describe('targets that lose answers', function () {
  this.timeout(60_000);

  it('get few of the calls that must not run twice', () => {
    let sent = 0;
    let failed = 0;
    for (const seed of [1, 2, 3]) {
      const [, results] = new SidecarWorld(UNEVEN_TARGETS_GRAPH, seed).run(PHASES);
      const result = results!.get('hold')!;
      sent += result.sent;
      failed += result.failed;
    }
    expect(failed / sent).to.be.below(EVENLY_FAILED / 4);
  });
});
