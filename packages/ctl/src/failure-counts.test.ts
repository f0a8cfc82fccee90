/**
 * `causes`: counts of requests without success from the log lines of several processes.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { exitCodes } from '@egretyoke/common'
import { causes } from './commands/causes.js'
import { countFailures } from './failure-counts.js'
import { readLogLines } from './log-files.js'

const startMs = Date.parse('2030-01-01T10:00:00Z')

const line = (atMs: number, vm: string, name: string, rest: object = {}) => JSON.stringify({
  time: new Date(startMs + atMs).toISOString(), vm, event: 7000, name, ...rest
})

const text = [
  line(100, 'vm-1', 'statementNotDone', { request: 'r1', status: 'NOT_RUN', reason: 'busy', workspace: 'a' }),
  line(200, 'vm-2', 'statementNotDone', { request: 'r2', status: 'NOT_RUN', reason: 'busy', workspace: 'b' }),
  line(2300, 'vm-2', 'statementNotDone', { request: 'r3', status: 'UNKNOWN', reason: 'silent', workspace: 'a' }),
  line(2400, 'vm-2', 'limitRefused', { request: 'r4', workspace: 'a' }),
  line(2500, 'vm-1', 'statementRouted', { request: 'r5', status: 'NOT_RUN', reason: 'busy' }),
  'not a line of the program'
].join('\n')

const { lines } = readLogLines([text])

test('requests without success are counted by cause; attempts that were followed by another are not', t => {
  const counts = countFailures(lines, { by: [], windowMs: 2000 })
  t.deepEqual(counts.map(({ cause, count }) => `${count} ${cause}`), ['2 not_run busy', '1 unknown silent', '1 limit'])
})

test('counts are split by fields and windows, and limited to a span of time', t => {
  const counts = countFailures(lines, { by: ['workspace', 'window'], windowMs: 2000, fromMs: startMs + 150 })
  t.deepEqual(counts.map(({ cause, fields }) => [cause, fields.workspace, fields.window]), [
    ['not_run busy', 'b', '10:00:00.000'], ['unknown silent', 'a', '10:00:02.000'], ['limit', 'a', '10:00:02.000']
  ])
})

test('the command reports counts, and refuses unknown fields, times and files', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'egretyoke-causes-'))
  t.teardown(() => rmSync(folder, { recursive: true }))
  const file = join(folder, 'vm.log')
  writeFileSync(file, text)
  const report = await causes([file], { by: 'vm', windowMs: 2000 })
  t.deepEqual([report.exitCode, report.data.total, report.data.unreadable], [exitCodes.ok, 4, 1])
  t.regex(report.lines.join('\n'), /1 {2}limit {2}vm-2\n/)
  t.is((await causes([file], { by: 'colour', windowMs: 2000 })).exitCode, exitCodes.badUsage)
  t.is((await causes([file], { by: '', windowMs: 2000, from: 'noon' })).exitCode, exitCodes.badUsage)
  t.is((await causes([join(folder, 'none')], { by: '', windowMs: 2000 })).exitCode, exitCodes.badSettings)
})
