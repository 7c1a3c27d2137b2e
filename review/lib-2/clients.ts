/** Clients on a machine: send requests to the outbound address of its sidecar at a steady rate and record every answer. */
import { request } from 'node:http';

export interface SentRequest {
  readonly id: string;
  /** Milliseconds since 1970. */
  readonly at: number;
  /** Status of the whole answer; 0 if there was none. */
  status: number;
  /** Milliseconds since 1970. */
  endedAt: number;
}

export interface ClientOptions {
  readonly outbound: string;
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly perSecond: number;
  readonly deadlineMs: number;
  readonly body?: string;
}

export class Clients {
  readonly sent: SentRequest[] = [];
  /** Requests without an end. */
  open = 0;
  private timer: NodeJS.Timeout | undefined;
  private readonly options: ClientOptions;

  constructor(options: ClientOptions) {
    this.options = options;
  }

  start(): void {
    this.timer = setInterval(() => this.sendOne(), 1_000 / this.options.perSecond);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Number of answers by status, as text. */
  summary(): string {
    const counts = new Map<number, number>();
    for (const { status } of this.sent) counts.set(status, (counts.get(status) ?? 0) + 1);
    const sorted = [...counts].sort(([first], [second]) => first - second);
    return sorted.map(([status, count]) => `${status || 'none'}: ${count}`).join(', ');
  }

  private sendOne(): void {
    const { outbound, method, host, path, deadlineMs, body = '' } = this.options;
    const sent = { id: `c-${this.sent.length + 1}`, at: Date.now(), status: 0, endedAt: 0 };
    this.sent.push(sent);
    this.open += 1;
    const end = (): void => {
      if (sent.endedAt !== 0) return;
      sent.endedAt = Date.now();
      this.open -= 1;
    };
    const headers = {
      Host: host,
      'X-Request-Id': sent.id,
      'X-Deadline-Milliseconds': String(deadlineMs),
      ...(body !== '' && { 'Content-Length': Buffer.byteLength(body) }),
    };
    const options = { method, path, headers, timeout: deadlineMs, agent: false };
    const asked = request(`http://${outbound}`, options, (answer) => {
      answer.resume();
      answer.once('end', () => {
        sent.status = answer.statusCode ?? 0;
        end();
      });
      answer.once('close', end);
    });
    asked.once('error', end);
    asked.once('timeout', () => asked.destroy());
    asked.end(body);
  }
}
