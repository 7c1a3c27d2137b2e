/** The calls that a target of a soak makes to the next service, through its sidecar. */
import { request } from 'undici';
import { DEFAULT_TARGET_HEADERS } from '../../src/http/target-headers.js';
import { DEADLY_PREFIX } from './deadly-client.js';
import { failedExchange, readResponse, type ExchangeResult } from './exchange-result.js';
import type { TargetContext, TargetOptions, TargetRun } from './soak-target.js';

const HEADERS = DEFAULT_TARGET_HEADERS;
const STATUS_OK = 200;

export class NestedCalls {
  private made = 0;

  constructor(
    private readonly context: TargetContext,
    private readonly options: TargetOptions,
  ) {}

  /**
   * Makes one call and records it.
   * @param instance incarnation of the target that makes it
   * @returns whether it succeeded
   */
  async callNext(
    { id: parent, isRepeat, deadlineAt, callSegment }: TargetRun,
    instance: string,
  ): Promise<boolean> {
    const { record, repeatedIds, now, nestedDeadlineMs } = this.context;
    const { machine } = this.options;
    const id = `${parent}/${instance}-${(this.made += 1)}`;
    if (isRepeat) repeatedIds.add(id);
    const sentAt = now();
    const deadlineMs = Math.max(1, Math.floor(Math.min(deadlineAt - sentAt, nestedDeadlineMs)));
    const answer = await this.exchange(id, deadlineMs, callSegment);
    const endedAt = now();
    const isDeadly = callSegment.startsWith(DEADLY_PREFIX);
    record.onRequestEnded({
      ...{ id, machine, isNested: true, isDeadly, deadlineMs, sentAt, endedAt },
      ...answer,
    });
    return answer.status === STATUS_OK;
  }

  private async exchange(
    id: string,
    deadlineMs: number,
    callSegment: string,
  ): Promise<ExchangeResult> {
    const { outboundOrigin, nextPath } = this.options;
    try {
      const response = await request(`${outboundOrigin}${nextPath}${callSegment}`, {
        headers: {
          host: this.context.host,
          [HEADERS.requestId]: id,
          [HEADERS.deadlineMs]: String(deadlineMs),
        },
        signal: AbortSignal.timeout(deadlineMs),
      });
      return await readResponse(response);
    } catch (error) {
      return failedExchange(error);
    }
  }
}
