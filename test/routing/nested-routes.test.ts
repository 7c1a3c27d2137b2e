import { expect } from 'chai';
import { NestedRoutes } from '../../src/routing/nested-routes.js';

describe('the routes that targets call, as gates say', () => {
  function reportAnswers(routes: NestedRoutes, isNested: boolean, answers: number): boolean {
    let hasChanged = false;
    for (let answer = 0; answer < answers; answer += 1) {
      hasChanged = routes.onAnswer('lookup', isNested) || hasChanged;
    }
    return hasChanged;
  }

  it('are not learned from one gate among many', () => {
    const routes = new NestedRoutes();
    for (let round = 0; round < 100; round += 1) {
      reportAnswers(routes, true, 1);
      reportAnswers(routes, false, 5);
      expect(routes.has('lookup')).to.equal(false);
    }
  });

  it('are learned from most answers, and unlearned', () => {
    const routes = new NestedRoutes();
    expect(reportAnswers(routes, true, 20)).to.equal(true);
    expect(routes.has('lookup')).to.equal(true);
    expect(reportAnswers(routes, true, 20)).to.equal(false);
    expect(reportAnswers(routes, false, 20)).to.equal(true);
    expect(routes.has('lookup')).to.equal(false);
  });
});
