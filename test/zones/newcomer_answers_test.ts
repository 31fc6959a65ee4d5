import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import * as workingCell from '../support/working_cell.js';

const {describe, test} = nodeTest;

describe('a leader whose members are all cut off while a newcomer leads', () => {
  // Guards against a leader that tells a client that a job is unknown, although
  // the newcomer has accepted it: none of the leader's members knows of that.
  test('does not tell that a job is unknown', async () => {
    const cell = await workingCell.startCell(4, 60_000, 3);
    await workingCell.submitJobs(cell, 600);
    const first = cell.leader();
    cell.partition(cell.members.map(({self}) => self.address));
    const newcomer = cell.addMember(cell.members.length);
    await cell.time.advance(12_000);
    assert.equal(cell.leader(), newcomer, 'no successor');
    let outcome: string | undefined;
    void newcomer.node
      .submit(jobCell.jobOf('late', {}), 1)
      ?.then(({kind}) => (outcome = kind));
    await cell.time.advance(1_000);
    assert.equal(outcome, 'accepted');
    assert.equal(
      first.node.readState(workingCell.QUEUE_NAME, 'late'),
      undefined,
    );
  });
});
