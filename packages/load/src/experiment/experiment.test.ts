import test from 'ava'
import { createRandom } from '@egretyoke/common'
import { mergedArrivals } from '../arrivals.js'
import { readDeployment } from '../deployments.js'
import { demoTimes, planDemo } from '../demo-plan.js'
import { drawPlot } from '../report/svg-plot.js'
import { formatBounds, formatResults } from '../report/markdown-table.js'
import { createSessionPool } from '../sessions.js'
import { experimentNames, readExperiment } from './experiment-files.js'
import { describeFleet, streamsOf } from './experiment-fleet.js'
import { evaluateBounds } from './experiment-result.js'
import { experimentSchema } from './experiment-schema.js'

const minimal = {
  kind: 'load',
  title: 'minimal',
  columns: [],
  workspaces: { 'yard-1': { ratePerSec: 100, burst: 10 } },
  load: [{ workspace: '*', timesRate: 0.5 }],
  variants: { one: {} },
  scenarios: { quiet: {}, lagging: { fleet: { replicationLagMs: 200 } } }
}

test('the nine experiment files are valid', t => {
  t.is(experimentNames().length, 9)
  for (const name of experimentNames()) {
    const read = readExperiment(name)
    t.true(read.ok, JSON.stringify(read.val))
  }
})

test('a scenario overrides only the fleet fields that it contains', t => {
  const experiment = experimentSchema.parse({ ...minimal, fleet: { vms: 2, stewards: false } })
  if (experiment.kind !== 'load') return t.fail()
  t.deepEqual(experiment.scenarios.lagging.fleet, { replicationLagMs: 200 })
  t.is(experiment.fleet.vms, 2)
  t.is(experiment.fleet.slots, 3)
})

test('an unknown field of an experiment is a finding', t => {
  t.false(experimentSchema.safeParse({ ...minimal, sedes: 1 }).success)
})

test('load on all workspaces continues past the planned end, and clock keys have a workspace of their own', t => {
  const experiment = experimentSchema.parse(minimal)
  if (experiment.kind !== 'load') return t.fail()
  const { configuration } = describeFleet(experiment.fleet, experiment.workspaces)
  const streams = streamsOf(experiment, experiment.load, configuration, 1_000)
  t.deepEqual(streams.map(stream => stream.workspace), ['yard-1', 'clock-writer-1'])
  t.is(streams[0].ratePerSec, 50)
  t.true(streams[0].toMs > 1_000)
})

test('arrivals are in order, match the rate, and are reproducible from the seed', t => {
  const stream = { workspace: 'yard-1', ratePerSec: 200, fromMs: 0, toMs: 10_000, mix: { read: 1 } }
  const times = (seed: number) => [...mergedArrivals([stream, { ...stream, fromMs: 5_000 }], seed)].map(a => a.atMs)
  const first = times(3)
  t.deepEqual(first, first.toSorted((left, right) => left - right))
  t.deepEqual(first, times(3))
  t.notDeepEqual(first, times(4))
  t.true(Math.abs(first.length - 3_000) < 300)
})

test('a session drops its token and counters when a failover has lost one of its writes', t => {
  const pool = createSessionPool(1)
  const random = createRandom(1)
  const answer = {
    kind: 'done' as const,
    reason: '',
    result: '1',
    retryAfterMs: 0,
    sessionToken: Buffer.from('token'),
    endpoint: 'db-1',
    fromReplica: false
  }
  const session = pool.acquire(random)!
  pool.release(session, true, 'group-1', true, answer)
  t.is(pool.acquire(random)!.confirmedByGroup.get('group-1'), 1)
  pool.release(session, false, 'group-1', true, { ...answer, kind: 'failed', reason: 'sessionWriteLost' })
  t.deepEqual([session.token.length, session.confirmedByGroup.size], [0, 0])
  pool.release(session, true, 'group-1', true, { ...answer, kind: 'outcomeUnknown', reason: 'timeout' })
  t.true(session.hasUnsettledWrite)
})

test('the demo plan contains each fault, and all events are within the planned length', t => {
  for (const deployment of ['arenal', 'modhafen']) {
    const plan = planDemo(readDeployment(deployment).configuration, 8_000)
    t.deepEqual(plan.faults.map(fault => fault.do), ['dataCentre', 'dataCentre', 'kill'])
    t.true(plan.streams.some(stream => stream.toMs === demoTimes.floodTo * 8_000))
    t.true(Math.max(...Object.values(demoTimes)) < 1)
  }
})

test('bounds are evaluated for the rows that they apply to and shown in reports', t => {
  const rows = [
    { scenario: 'quiet', variant: 'one', measures: { gapMs: 10 }, details: {} },
    { scenario: 'flood', variant: 'one', measures: { gapMs: 30 }, details: {} },
    { scenario: 'flood', variant: 'two', measures: {}, details: {} }
  ]
  const evaluated = evaluateBounds([{ measure: 'gapMs', scenario: 'flood', atMost: 20 }], rows)
  t.deepEqual(evaluated.map(bound => bound.isMet), [false, false])
  t.true(formatBounds(evaluated).includes('0 of 2'))
  t.true(formatResults(rows, ['gapMs']).includes('| flood | two | - |'))
})

test('a plot escapes its labels and contains no invalid coordinates', t => {
  const svg = drawPlot([{
    title: 'a <b>',
    yLabel: 'done per second',
    lines: [{ name: 'one', points: [[0, 1], [1, 2]] }],
    marks: [{ atS: 0.5, label: 'kill "db-1"' }]
  }])
  t.true(svg.includes('a &lt;b&gt;'))
  t.true(svg.includes('kill &quot;db-1&quot;'))
  t.false(svg.includes('NaN'))
})
