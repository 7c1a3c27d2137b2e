/**
 * A group of control replicas as real processes, with API clients for them. Addresses and data folders stay the same
 * across restarts.
 */
import { hash } from 'node:crypto';
import { rmSync } from 'node:fs';
import { join } from 'node:path';
import { ResourceClient } from '../../src/client/resource-client.js';
import { freePorts } from './free-ports.js';
import { ProgramProcess } from './program-process.js';

const OPERATOR_TOKEN = 'lab-operator-token';

export interface ControlReplica {
  readonly process: ProgramProcess;
  readonly origin: string;
  readonly dataDir: string;
}

export class ControlReplicas {
  private constructor(readonly all: readonly ControlReplica[]) {}

  /** Starts one replica per zone. @throws when one does not start; the others are killed first */
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

  /** Creates a client with write permission that uses all replicas. */
  client(): ResourceClient {
    return new ResourceClient({ origins: this.origins, token: OPERATOR_TOKEN });
  }

  /** Creates a client with write permission that uses one replica only. */
  clientOf({ origin }: ControlReplica): ResourceClient {
    return new ResourceClient({ origins: [origin], token: OPERATOR_TOKEN });
  }

  /** Deletes the data folder of a replica; its process must have exited. */
  loseDisk({ dataDir }: ControlReplica): void {
    rmSync(dataDir, { recursive: true, force: true });
  }

  /** Kills all processes. */
  async kill(): Promise<void> {
    await Promise.all(this.all.map(({ process }) => process.kill()));
  }
}
