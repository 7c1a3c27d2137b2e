/** A {@link FormationPeer} between two steps as plain data, so that every order of steps can be tried from each state. */
import { FormationPeer } from '../../../src/consensus/formation-peer.js';
import type { AcceptorRecord, Proposal } from '../../../src/consensus/formation.js';
import type { FormationMessage, MessageTarget } from '../../../src/consensus/raft-types.js';
import type { Replica, ReplicaSet } from '../../../src/storage/persisted-state.js';

/** The memory of a participant while no write is in progress. */
export interface PeerMemory {
  readonly record: AcceptorRecord;
  readonly proposal: Proposal | undefined;
  readonly highestRound: number;
}

/** What a participant did in one step. */
export interface PeerStep {
  readonly memory: PeerMemory;
  readonly sent: readonly { readonly to: MessageTarget; readonly message: FormationMessage }[];
  readonly chosen: ReplicaSet | undefined;
}

class RestorablePeer extends FormationPeer {
  restore({ proposal, highestRound }: PeerMemory): void {
    this.proposal = proposal;
    this.highestRound = highestRound;
  }

  get memory(): PeerMemory {
    const { record, proposal, highestRound } = this;
    return { record, proposal, highestRound };
  }
}

/** Runs one step of a participant, whose writes succeed at once. */
export function runStep(
  self: Replica,
  memory: PeerMemory,
  step: (peer: FormationPeer) => void,
): PeerStep {
  const sent: { to: MessageTarget; message: FormationMessage }[] = [];
  let chosen: ReplicaSet | undefined;
  const peer = new RestorablePeer({
    self,
    record: memory.record,
    saveRecord: (_record, done) => done(),
    transport: { send: (to, message) => sent.push({ to, message: message as FormationMessage }) },
    onChosen: (replicas) => (chosen = replicas),
    onOtherBallot: () => undefined,
    onProgress: () => undefined,
  });
  peer.restore(memory);
  step(peer);
  return { memory: peer.memory, sent, chosen };
}
