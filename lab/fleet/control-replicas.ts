/**
 * Control replicas as processes, and an operator's access to them. Owns the processes, their addresses, which
 * stay the same over restarts, and their data folders.
 */
import { hash } from 'node:crypto';
import { rmSync } from 'node:fs';
import { join } from 'node:path';
import { ResourceClient } from '../../src/client/resource-client.js';
import { freePorts } from './free-ports.js';
import { ProgramProcess } from './program-process.js';

const OPERATOR_TOKEN = 'lab-operator-token';

/** One control replica. */
export interface ControlReplica {
  readonly process: ProgramProcess;
  readonly origin: string;
  readonly dataDir: string;
}

export class ControlReplicas {
  private constructor(readonly all: readonly ControlReplica[]) {}

  /** Starts one replica for each of the zones. @throws when one does not start; those that did are ended first */
  static async start(workDir: string, zones: readonly string[]): Promise<ControlReplicas> {
    const ports = await freePorts(zones.length);
    const members = ports.map((port, index) => ({
      id: `control-${index + 1}`,
      origin: `http://127.0.0.1:${port}`,
    }));
    const tokens = [
      { name: 'lab', role: 'write', tokenHash: hash('sha256', OPERATOR_TOKEN, 'hex') },
    ];
    const replicas = members.map(({ id, origin }, index): ControlReplica => {
      const dataDir = join(workDir, id);
      const listen = { host: '127.0.0.1', port: ports[index] };
      const settings = { zone: zones[index], listen, dataDir, replicas: members, tokens };
      const process = new ProgramProcess(id, 'control', workDir, settings);
      return { process, origin, dataDir };
    });
    const started = new ControlReplicas(replicas);
    try {
      await Promise.all(replicas.map(({ process }) => process.start()));
    } catch (error) {
      await started.kill();
      throw error;
    }
    return started;
  }

  get origins(): string[] {
    return this.all.map(({ origin }) => origin);
  }

  /** A client with the right to write that may ask any replica. */
  client(): ResourceClient {
    return new ResourceClient({ origins: this.origins, token: OPERATOR_TOKEN });
  }

  /** A client with the right to write that asks one replica. */
  clientOf({ origin }: ControlReplica): ResourceClient {
    return new ResourceClient({ origins: [origin], token: OPERATOR_TOKEN });
  }

  /** Loses the disk of a replica whose process has ended. */
  loseDisk({ dataDir }: ControlReplica): void {
    rmSync(dataDir, { recursive: true, force: true });
  }

  /** Ends all processes at once. */
  async kill(): Promise<void> {
    await Promise.all(this.all.map(({ process }) => process.kill()));
  }
}
