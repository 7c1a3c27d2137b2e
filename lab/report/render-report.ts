/** Renders the report of a run as an HTML page with plots over time, drawn as SVG by vega. */
import { parse, View } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import { describeRun } from '../experiment/summary.js';
import type { ExperimentReport } from '../experiment/run-experiment.js';
import type { SeriesPoint } from '../experiment/time-series.js';

const WIDTH = 860;
const HEIGHT = 180;

const MEASURES: readonly { measure: SeriesPoint['measure']; title: string }[] = [
  { measure: 'offered', title: 'Offered requests a second' },
  { measure: 'completed', title: 'Goodput: whole answers a second' },
  { measure: 'refused', title: 'Refused requests a second (all attempts told not-run)' },
  { measure: 'failed', title: 'Failed requests a second' },
  { measure: 'repeated attempts', title: "Callers' repeated attempts a second" },
];

function plotOf(points: readonly SeriesPoint[], title: string, endSecond: number): TopLevelSpec {
  return {
    $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
    width: WIDTH,
    height: HEIGHT,
    title,
    data: { values: [...points] },
    mark: { type: 'area', interpolate: 'step-after' },
    encoding: {
      x: {
        field: 'second',
        type: 'quantitative',
        title: 'seconds',
        scale: { domain: [0, endSecond] },
      },
      y: { field: 'perSecond', type: 'quantitative', stack: 'zero', title: 'a second' },
      color: { field: 'kind', type: 'nominal', title: 'kind' },
    },
  };
}

async function toSvg(spec: TopLevelSpec): Promise<string> {
  const view = new View(parse(compile(spec).spec), { renderer: 'none' });
  const svg = await view.toSVG();
  view.finalize();
  return svg;
}

function escapeHtml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}

/** Returns the HTML page of a report. */
export async function renderReport(report: ExperimentReport): Promise<string> {
  const { result, mode, boundDuring, violations } = report;
  const endSecond = result.phases.at(-1)!.toMs / 1_000;
  const plots = await Promise.all(
    MEASURES.map(({ measure, title }) => {
      const points = result.series.filter((point) => point.measure === measure);
      return toSvg(plotOf(points, title, endSecond));
    }),
  );
  const title = escapeHtml(`${result.scenario}, seed ${result.seed}, ${mode}`);
  const broken = violations.map(
    ({ promise, requestId, detail }) =>
      `<li>${escapeHtml(`${promise}: ${requestId} ${detail}`)}</li>`,
  );
  return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>${title}</title>
<body style="font-family: sans-serif; max-width: 1000px; margin: 2em auto">
<h1>${title}</h1>
<p>Most whole requests that could be finished during the disturbance: ${boundDuring.toFixed(1)} a second.</p>
${plots.join('\n')}
<pre>${escapeHtml(describeRun(result))}</pre>
<h2>Broken promises</h2>
${broken.length === 0 ? '<p>none</p>' : `<ul>${broken.join('')}</ul>`}
</body>
</html>
`;
}
