/* eslint-disable @typescript-eslint/explicit-module-boundary-types -- types of plain JavaScript stand in JSDoc */
/** The record of a case: one line an event, written to record.txt in the folder of the case. */
import { writeFileSync } from 'node:fs';

export class Record {
  /** @type {string[]} */
  lines = [];
  startedAt = performance.now();

  /** @param {string} file path of record.txt */
  constructor(file) {
    this.file = file;
  }

  /** Milliseconds since the start of the record. */
  get now() {
    return Math.round(performance.now() - this.startedAt);
  }

  /**
   * Adds one event.
   * @param {string} text
   */
  add(text) {
    this.lines.push(`${String(this.now).padStart(7)} ${text}`);
  }

  /** Writes all events. */
  save() {
    writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}
