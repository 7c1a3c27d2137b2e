import { expect } from 'chai';
import fc from 'fast-check';
import { RetryAllowance } from '../../src/retry/retry-allowance.js';

/**
 * Simulates a chain in which every hop retries whenever allowed and answers are lost at random.
 * @returns the number of retries in the whole chain
 */
function runChain(allowance: RetryAllowance, depth: number, lost: () => boolean): number {
  let retries = -1;
  do {
    retries += 1;
    const loan = allowance.lend();
    const below = new RetryAllowance(loan.amount);
    if (depth > 0) retries += runChain(below, depth - 1, lost);
    if (lost()) loan.settleLost();
    else loan.settle(below.end());
  } while (allowance.spend());
  return retries;
}

describe('RetryAllowance', () => {
  it('bounds the retries of a whole chain by the allowance, whatever is lost', () => {
    fc.assert(
      fc.property(
        fc.nat(10),
        fc.nat(25),
        fc.infiniteStream(fc.boolean()),
        (initialRetries, depth, losses) => {
          const lost = (): boolean => losses.next().value as boolean;
          const retries = runChain(new RetryAllowance(initialRetries), depth, lost);
          expect(retries).to.be.at.most(initialRetries);
        },
      ),
    );
  });

  it('lets parallel calls spend what is left only once', () => {
    const allowance = new RetryAllowance(3);
    const first = allowance.lend();
    const second = allowance.lend();
    expect([first.amount, second.amount, allowance.available]).to.deep.equal([2, 0, 1]);
  });

  it('keeps one retry for the loss of the answer', () => {
    const allowance = new RetryAllowance(1);
    const loan = allowance.lend();
    loan.settleLost();
    expect([loan.amount, allowance.available]).to.deep.equal([0, 1]);
  });

  it('gives nothing away after its end', () => {
    const allowance = new RetryAllowance(2);
    expect(allowance.end()).to.equal(2);
    expect([allowance.lend().amount, allowance.spend()]).to.deep.equal([0, false]);
  });

  it('does not take back more than was lent, nor twice', () => {
    const allowance = new RetryAllowance(2);
    const loan = allowance.lend();
    loan.settle(9);
    loan.settle(2);
    expect(allowance.available).to.equal(2);
  });

  const settlements = [
    { name: 'lost answer', settle: 'settleLost', left: 1 },
    { name: 'never sent', settle: 'settleUnused', left: 2 },
  ] as const;
  for (const { name, settle, left } of settlements) {
    it(`counts a ${name} as ${2 - left} spent`, () => {
      const allowance = new RetryAllowance(2);
      allowance.lend()[settle]();
      expect(allowance.available).to.equal(left);
    });
  }
});
