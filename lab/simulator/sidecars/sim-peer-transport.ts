/** Sends the attempts of one simulated request to the gates of other sidecars with a fixed link delay. */
import type { Outcome } from '../../../src/call/outcome.js';
import type {
  Attempt,
  AttemptMetadata,
  AttemptListener,
  OutboundTransport,
} from '../../../src/call/transport.js';
import type { CallFrameContext } from '../../../src/link/link-frames.js';
import type { EndpointRecord } from '../../../src/call/endpoint.js';
import type { RequestLineage } from './request-lineage.js';
import type { SidecarEnvironment } from './sim-sidecar.js';
import type { Cancellable } from '../../model/cancellable.js';

/** One-way delay between two machines. */
const LINK_DELAY_MS = 1;
export class SimPeerTransport implements OutboundTransport {
  readonly replayable = true;
  /** Status of the relayed answer; 0 before there is one. */
  status = 0;

  constructor(
    private readonly world: SidecarEnvironment,
    private readonly caller: EndpointRecord,
    private readonly frame: (envelope: AttemptMetadata) => CallFrameContext,
    private readonly lineage: RequestLineage,
  ) {}

  send(endpoint: EndpointRecord, envelope: AttemptMetadata, listener: AttemptListener): Attempt {
    const { clock } = this.world;
    const frame = this.frame(envelope);
    this.world.onAttempt(endpoint.zone !== this.caller.zone);
    let isOver = false;
    let inbound: Cancellable | undefined;
    const onAnswer = (status: number, outcome: Outcome): void => {
      if (isOver) return;
      isOver = true;
      const decision = listener.onHead({ status, outcome });
      if (decision === 'discard') return;
      this.status = status;
      listener.onEnd();
    };
    clock.schedule(LINK_DELAY_MS, () => {
      if (isOver) return;
      const sidecar = this.world.sidecar(endpoint.id);
      inbound = sidecar.gate(frame, this.caller.service, this.lineage, (status, outcome) => {
        clock.schedule(LINK_DELAY_MS, () => onAnswer(status, outcome));
      });
    });
    return {
      written: true,
      cancel: () => {
        isOver = true;
        clock.schedule(LINK_DELAY_MS, () => inbound?.cancel());
      },
    };
  }
}
