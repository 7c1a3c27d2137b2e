/** Factors between units of time. For every module that converts; owns no state. */

/** Milliseconds in one second. */
export const MS_PER_SECOND = 1_000;
