/**
 * `explain`: the timeline of a request from the log lines of several processes.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { exitCodes } from '@egretyoke/common'
import { explain } from './commands/explain.js'
import { readLogLines } from './log-files.js'
import { requestTimeline } from './request-timeline.js'

const startMs = 1_800_000_000_000

const line = (atMs: number, vm: string, name: string, rest: object = {}) => JSON.stringify({
  level: 30, time: new Date(startMs + atMs).toISOString(), program: 'egretyoke', vm, event: 7000, name, ...rest
})

const routingVmLog = [
  line(9000, 'vm-1', 'statementRouted', {
    request: 'r1', database: 'db-1', holder: 'vm-2', status: 'NOT_RUN', reason: 'moved'
  }),
  line(9001, 'vm-1', 'statementNotDone', { request: 'r1', group: 'g1', status: 'NOT_RUN', reason: 'moved' }),
  line(9000, 'vm-1', 'statementRouted', { request: 'r2', database: 'db-9', holder: 'vm-3', status: 'DONE' }),
  'not a line of the program'
]
const otherVmLogs = [
  line(1000, 'vm-2', 'storeLost', { reason: 'early' }),
  line(7000, 'vm-2', 'storeLost', { reason: 'noAnswer' }),
  line(8000, 'vm-3', 'storeLost', { reason: 'elsewhere' }),
  line(8500, 'vm-3', 'primaryChangeBegun', { group: 'g1', reason: 'failed' }),
  line(8600, 'vm-3', 'primaryChangeBegun', { group: 'g9', reason: 'failed' })
]

test('the timeline holds lines of the request and state changes of its VMs, databases and groups', t => {
  const { lines, unreadable } = readLogLines([routingVmLog.join('\n'), otherVmLogs.join('\n')])
  const timeline = requestTimeline(lines, 'r1')
  t.is(unreadable, 1)
  t.deepEqual(timeline.own.map(({ name }) => name), ['statementRouted', 'statementNotDone'])
  t.deepEqual(timeline.around.map(({ vm, name, reason }) => `${vm} ${name} ${reason}`), [
    'vm-2 storeLost noAnswer', 'vm-3 primaryChangeBegun failed'
  ])
  t.regex(timeline.cause, /in force/)
})

test('the cause is that of the last line with an outcome, also when a line about the connection follows', t => {
  const prepared = line(9002, 'vm-2', 'statementPrepared', { request: 'r1', database: 'db-1', connection: 12 })
  const { lines } = readLogLines([routingVmLog.join('\n'), prepared])
  const timeline = requestTimeline(lines, 'r1')
  t.is(timeline.own.at(-1)?.name, 'statementPrepared')
  t.regex(timeline.cause, /in force/)
})

test('lines of one kind are shown up to a limit; the rest are counted', t => {
  const many = Array.from({ length: 9 }, (_, index) => line(8000 + index, 'vm-2', 'peerLost', { address: 'a' }))
  const { lines } = readLogLines([routingVmLog.join('\n'), many.join('\n')])
  const timeline = requestTimeline(lines, 'r1')
  t.is(timeline.around.length, 4)
  t.is(timeline.leftOut, 5)
})

test('explain reports a missing request and an unreadable file', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'egretyoke-explain-'))
  t.teardown(() => rmSync(folder, { recursive: true }))
  const file = join(folder, 'vm-1.log')
  writeFileSync(file, routingVmLog.join('\n'))
  const found = await explain('r1', [file])
  t.is(found.exitCode, exitCodes.ok)
  t.regex(found.lines.join('\n'), /\* .* vm-1 7000 statementNotDone request=r1/)
  t.is((await explain('r7', [file])).exitCode, exitCodes.badUsage)
  t.is((await explain('r1', [join(folder, 'none')])).exitCode, exitCodes.badSettings)
})
