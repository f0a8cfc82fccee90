/**
 * The soak's command line, as npm starts it.
 */
import { execFile } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import test from 'ava'
import { exitCodes } from '@egretyoke/common'

const program = fileURLToPath(new URL('../bin/egretyoke-gateway-soak.js', import.meta.url))
const run = (...args: string[]) => promisify(execFile)(process.execPath, [program, ...args])

test('the program tells its options and exit codes', async t => {
  const { stdout } = await run('--help')
  t.regex(stdout, /--seeds/)
  t.regex(stdout, /Exit codes/)
})

test('numbers that are none are refused', async t => {
  const failure = await t.throwsAsync(run('--seconds', 'soon')) as { code?: number }
  t.is(failure.code, exitCodes.badUsage)
})
