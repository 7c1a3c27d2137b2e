/** `shoredoor status`: prints revisions, replication and lagging members as one replica reports them. */
import { createClient, readOutputFormat, type OperatorOptions } from './command-options.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';
import { printResult } from './output.js';

export async function showStatus(options: OperatorOptions): Promise<ExitCode> {
  const report = await createClient(options).status();
  const { replication } = report;
  const rows: [string, string][] = [
    ['replica', `${report.replicaId} (${replication.role}, term ${replication.term})`],
    ['leader', replication.leaderId ?? 'none known'],
    ['voters', replication.voters.join(', ')],
    ['learners', replication.learners.join(', ') || 'none'],
    ['replica set', replication.replicasSettled ? 'settled' : 'changing'],
    ['accepted revision', String(report.acceptedRevision)],
    ['distributed revision', String(report.distributedRevision)],
    ['in-force revision', String(report.inForceRevision)],
    ['members', String(report.memberCount)],
    ...report.holders.map(({ revision, count }): [string, string] => [
      `holding revision ${revision}`,
      String(count),
    ]),
    ...report.lagging.map(({ id, zone, appliedRevision }): [string, string] => [
      `lagging: ${id} (${zone})`,
      `revision ${appliedRevision}`,
    ]),
  ];
  if (replication.problem !== undefined) rows.push(['problem', replication.problem]);
  printResult(readOutputFormat(options), report, () => ({ columns: ['WHAT', 'VALUE'], rows }));
  return EXIT_CODES.ok;
}
