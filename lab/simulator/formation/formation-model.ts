/**
 * Explores every order of proposals, messages, crashes and lost disks during the formation of a replica set, breadth first,
 * up to a number of steps. Messages may be lost (never delivered) and arrive in any order. States that were reached before
 * are not explored again.
 */
import { createHash } from 'node:crypto';
import {
  type AcceptorRecord,
  compareBallots,
  newAcceptorRecord,
  type Quorum,
} from '../../../src/consensus/formation.js';
import type { FormationMessage, MessageTarget } from '../../../src/consensus/raft-types.js';
import type { Replica, ReplicaSet } from '../../../src/storage/persisted-state.js';
import { runStep, type PeerMemory, type PeerStep } from './restorable-peer.js';

export interface FormationModelOptions {
  readonly quorum: Quorum;
  /** Maximum number of steps from the start. */
  readonly depth: number;
  /** Maximum numbers of events in one history. */
  readonly proposals: number;
  readonly crashes: number;
  readonly lostDisks: number;
  readonly duplicates: number;
  /** Lab only: an acceptor answers without syncing its record, so that a crash loses it. */
  readonly answersWithoutSync?: boolean;
  /** Lab only: a seed that lost its disk acts as an acceptor without memory. */
  readonly forgetsWithDisk?: boolean;
}

export interface FormationModelResult {
  /** Number of different states reached. */
  readonly states: number;
  readonly steps: number;
  /** Whether no further state could be reached: the limit of steps left nothing out. */
  readonly isComplete: boolean;
  /** Steps of the shortest history in which two sets were chosen; undefined if there is none. */
  readonly violation: readonly string[] | undefined;
}

interface Seed {
  /** Number of disks that the seed has had before. */
  readonly disk: number;
  /** Undefined for a seed that is no acceptor. */
  readonly memory: PeerMemory | undefined;
  readonly stored: AcceptorRecord | undefined;
}

interface InFlight {
  readonly to: MessageTarget;
  readonly message: FormationMessage;
  readonly key: string;
}

interface State {
  readonly seeds: readonly Seed[];
  readonly inFlight: readonly InFlight[];
  readonly chosen: readonly string[];
  readonly proposals: number;
  readonly crashes: number;
  readonly lostDisks: number;
  readonly duplicates: number;
  readonly history: History | undefined;
}

interface History {
  readonly step: string;
  readonly before: History | undefined;
}

const ORIGINS = ['a', 'b', 'c'];

export class FormationModel {
  private readonly reached = new Set<string>();

  constructor(private readonly options: FormationModelOptions) {}

  explore(): FormationModelResult {
    let frontier = [this.firstState()];
    let steps = 0;
    while (frontier.length > 0 && steps < this.options.depth) {
      const next: State[] = [];
      for (const state of frontier) {
        for (const successor of this.successors(state)) {
          if (!this.isNew(successor)) continue;
          if (successor.chosen.length > 1) return this.result(steps + 1, false, successor);
          next.push(successor);
        }
      }
      frontier = next;
      steps += 1;
    }
    return this.result(steps, frontier.length === 0, undefined);
  }

  private result(
    steps: number,
    isComplete: boolean,
    violation: State | undefined,
  ): FormationModelResult {
    const history = violation && stepsOf(violation.history);
    return { states: this.reached.size, steps, isComplete, violation: history };
  }

  private firstState(): State {
    const { proposals, crashes, lostDisks, duplicates } = this.options;
    const seeds = ORIGINS.map(() => this.newSeed(0, true));
    const budgets = { proposals, crashes, lostDisks, duplicates };
    return { seeds, inFlight: [], chosen: [], ...budgets, history: undefined };
  }

  private newSeed(disk: number, isAcceptor: boolean): Seed {
    if (!isAcceptor) return { disk, memory: undefined, stored: undefined };
    const record = newAcceptorRecord(ORIGINS, this.options.quorum);
    return { disk, memory: memoryOf(record), stored: record };
  }

  private *successors(state: State): Generator<State> {
    for (const index of ORIGINS.keys()) {
      const seed = state.seeds[index]!;
      if (seed.memory !== undefined) yield* this.stepsOfAcceptor(state, index, seed.memory);
      if (state.lostDisks > 0) yield this.loseDisk(state, index);
    }
    for (const [position, message] of state.inFlight.entries()) {
      const rest = state.inFlight.filter((_, other) => other !== position);
      yield* this.deliver({ ...state, inFlight: rest }, message, 'deliver');
      if (state.duplicates === 0) continue;
      const again = { ...state, duplicates: state.duplicates - 1 };
      yield* this.deliver(again, message, 'deliver a copy of');
    }
  }

  private *stepsOfAcceptor(state: State, index: number, memory: PeerMemory): Generator<State> {
    const { stored } = state.seeds[index]!;
    if (state.proposals > 0) {
      const left = { ...state, proposals: state.proposals - 1 };
      const own = setNamed(`${identityOf(state, index)}, ${state.proposals}`);
      const step = runStep(replicaOf(state, index), memory, (peer) => peer.propose(own));
      yield this.after(left, index, step, `${ORIGINS[index]} proposes`);
    }
    if (state.crashes > 0) {
      const seed = { ...state.seeds[index]!, memory: memoryOf(stored!) };
      const left = { ...state, crashes: state.crashes - 1 };
      yield withSeed(left, index, seed, `${ORIGINS[index]} crashes`);
    }
  }

  private loseDisk(state: State, index: number): State {
    const isAcceptor = this.options.quorum === 'all' || this.options.forgetsWithDisk === true;
    const seed = this.newSeed(state.seeds[index]!.disk + 1, isAcceptor);
    const left = { ...state, lostDisks: state.lostDisks - 1 };
    return withSeed(left, index, seed, `${ORIGINS[index]} loses its disk`);
  }

  private *deliver(state: State, { to, message }: InFlight, verb: string): Generator<State> {
    const index = ORIGINS.indexOf(to.origin);
    const { memory } = state.seeds[index]!;
    if (memory === undefined) return;
    const step = runStep(replicaOf(state, index), memory, (peer) => peer.receive(message));
    const { from, ballot, type } = message;
    const text = `${verb} ${type} ${ballot.round} ${ballot.proposer}: ${from.identity} to ${to.origin}`;
    yield this.after(state, index, step, text);
  }

  private after(state: State, index: number, step: PeerStep, text: string): State {
    const { answersWithoutSync } = this.options;
    const before = state.seeds[index]!;
    const stored = answersWithoutSync === true ? before.stored : step.memory.record;
    const sent = step.sent.map((sending) => ({ ...sending, key: JSON.stringify(sending) }));
    const chosen = new Set(state.chosen);
    if (step.chosen !== undefined) chosen.add(step.chosen.voters[0]!.identity);
    const inFlight = [...state.inFlight, ...sent];
    const next = { ...state, inFlight, chosen: [...chosen].sort() };
    return withSeed(next, index, { ...before, memory: step.memory, stored }, text);
  }

  private isNew(state: State): boolean {
    const key = createHash('md5').update(textOf(state)).digest('base64');
    if (this.reached.has(key)) return false;
    this.reached.add(key);
    return true;
  }
}

function memoryOf(record: AcceptorRecord): PeerMemory {
  return { record, proposal: undefined, highestRound: 0 };
}

function identityOf({ seeds }: State, index: number): string {
  return `${ORIGINS[index]}#${seeds[index]!.disk}`;
}

function replicaOf(state: State, index: number): Replica {
  const origin = ORIGINS[index]!;
  return { identity: identityOf(state, index), name: origin, origin, role: 'voter' };
}

/** A set that no other proposal names, so that each proposal competes with all others. */
function setNamed(identity: string): ReplicaSet {
  return { voters: [{ identity, name: '', origin: '', role: 'voter' }], learners: [] };
}

function withSeed(state: State, index: number, seed: Seed, step: string): State {
  const seeds = state.seeds.map((other, position) => (position === index ? seed : other));
  const next = { ...state, seeds, history: { step, before: state.history } };
  return { ...next, inFlight: state.inFlight.filter((message) => hasEffect(next, message)) };
}

/** Whether a message can still change anything. Those that can't are dropped, as their order makes no difference. */
function hasEffect(state: State, { to, message }: InFlight): boolean {
  const index = ORIGINS.indexOf(to.origin);
  const { memory } = state.seeds[index]!;
  if (memory === undefined) return false;
  if (to.identity !== '' && to.identity !== identityOf(state, index)) return false;
  const { proposal } = memory;
  const isOfProposal =
    proposal !== undefined && compareBallots(proposal.ballot, message.ballot) === 0;
  if (message.type === 'form-promise') return isOfProposal && proposal.phase === 'prepare';
  if (message.type === 'form-accepted') return isOfProposal && proposal.phase === 'accept';
  return true;
}

const seedTexts = new WeakMap<Seed, string>();

/** Describes a state, the order of its messages left out. */
function textOf(state: State): string {
  const { seeds, inFlight, chosen, proposals, crashes, lostDisks, duplicates } = state;
  const messages = inFlight.map(({ key }) => key).sort();
  const numbers = [proposals, crashes, lostDisks, duplicates].join();
  return [...seeds.map(textOfSeed), numbers, chosen.join(), ...messages].join('\n');
}

function textOfSeed(seed: Seed): string {
  const text = seedTexts.get(seed) ?? JSON.stringify(seed);
  seedTexts.set(seed, text);
  return text;
}

function stepsOf(history: History | undefined): string[] {
  const steps: string[] = [];
  for (let step = history; step !== undefined; step = step.before) steps.unshift(step.step);
  return steps;
}
