/**
 * The replicated record of quota ceilings: the fraction of its limit up to which a group may have commitments. It tells the
 * next leader how much of a limit former grants may still use. These types are stored in commands and snapshots.
 */

/** The ceiling of one group, as a fraction of its limit. */
export interface GroupCeiling {
  readonly group: string;
  readonly ceiling: number;
}

/**
 * All ceilings of a leader. Binds only the leader of `term`: a leader that has written none may commit whole limits, so the
 * record tells nothing about leaders after `term`.
 */
export interface CeilingRecord {
  readonly term: number;
  /** Groups with a ceiling above {@link BASE_CEILING}, which all others have. */
  readonly raised: readonly GroupCeiling[];
}

/** Possible ceilings, ascending. Few, so that a change of demand seldom changes the record. */
export const CEILING_LEVELS: readonly number[] = [0.5, 0.75, 1];
/** Ceiling of a group without an entry. Half of the limit is left for the processes that start after a loss of all power. */
export const BASE_CEILING = CEILING_LEVELS[0]!;

/** Index of a {@link CeilingRecord} by group. */
export class RecordedCeilings {
  private readonly byGroup: ReadonlyMap<string, number>;

  /** @param record without a record, a group may have commitments for its whole limit */
  constructor(readonly record: CeilingRecord | undefined) {
    this.byGroup = new Map(record?.raised.map(({ group, ceiling }) => [group, ceiling]));
  }

  /** The ceiling of a group, as a fraction of its limit. */
  of(group: string): number {
    return this.record === undefined ? 1 : (this.byGroup.get(group) ?? BASE_CEILING);
  }
}
