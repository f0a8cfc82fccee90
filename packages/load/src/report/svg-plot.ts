/**
 * Draws a time series plot as SVG: one panel for each scenario, one line for each variant.
 */
import type { PlotLine, PlotPanel } from '../experiment/experiment-result.js'

const widthPx = 720
const panelHeightPx = 180
const leftPx = 60
const rightPx = 16
const topPx = 34
const bottomPx = 26
const gridLines = 4
const colours = ['#1b6ca8', '#d1495b', '#2e8b57', '#8a5a00', '#6a4c93']

const escape = (text: string): string =>
  text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;')

const text = (x: number, y: number, content: string, attributes = ''): string =>
  `<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" ${attributes}>${escape(content)}</text>`

const maxCoordinate = (lines: PlotLine[], axis: 0 | 1): number =>
  Math.max(1e-9, ...lines.flatMap(line => line.points.map(point => point[axis])))

const drawPanel = (panel: PlotPanel, offsetPx: number): string[] => {
  const maxX = maxCoordinate(panel.lines, 0)
  const maxY = maxCoordinate(panel.lines, 1)
  const bottom = offsetPx + panelHeightPx - bottomPx
  const x = (value: number) => leftPx + value / maxX * (widthPx - leftPx - rightPx)
  const y = (value: number) => bottom - value / maxY * (panelHeightPx - topPx - bottomPx)
  const grid = Array.from({ length: gridLines + 1 }, (_, index) => index / gridLines).flatMap(ratio => [
    `<line x1="${leftPx}" x2="${widthPx - rightPx}" y1="${y(ratio * maxY)}" y2="${y(ratio * maxY)}" stroke="#ddd"/>`,
    text(leftPx - 6, y(ratio * maxY) + 4, Number((ratio * maxY).toPrecision(3)).toString(), 'text-anchor="end"'),
    text(x(ratio * maxX), bottom + 14, `${(ratio * maxX).toFixed(0)} s`, 'text-anchor="middle"')
  ])
  const marks = panel.marks.filter(mark => mark.atS <= maxX).flatMap(({ atS, label }, index) => [
    `<line x1="${x(atS)}" x2="${x(atS)}" y1="${offsetPx + topPx}" y2="${bottom}" stroke="#999"/>`,
    text(x(atS) + 3, offsetPx + topPx + 9 + 11 * (index % 4), label, 'fill="#555" font-size="9"')
  ])
  const lines = panel.lines.flatMap(({ name, points }, index) => {
    const colour = colours[index % colours.length]
    const path = points.map(point => `${x(point[0]).toFixed(1)},${y(point[1]).toFixed(1)}`).join(' ')
    return [
      `<polyline points="${path}" fill="none" stroke="${colour}" stroke-width="1.5"/>`,
      text(widthPx - rightPx - 130 * (panel.lines.length - 1 - index), offsetPx + 16, name,
        `text-anchor="end" fill="${colour}"`)
    ]
  })
  const title = text(leftPx, offsetPx + 16, `${panel.title}: ${panel.yLabel}`, 'font-weight="bold"')
  return [title, ...grid, ...marks, ...lines]
}

/** Returns an SVG document with the panels stacked vertically. */
export const drawPlot = (panels: PlotPanel[]): string => {
  const heightPx = panelHeightPx * panels.length
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${widthPx}" height="${heightPx}" ` +
      'font-family="sans-serif" font-size="11">',
    '<rect width="100%" height="100%" fill="white"/>',
    ...panels.flatMap((panel, index) => drawPanel(panel, index * panelHeightPx)),
    '</svg>',
    ''
  ].join('\n')
}
