/**
 * Command line of the soak program.
 */
import { execFile } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import test from 'ava'
import { exitCodes } from '@egretyoke/common'

const program = fileURLToPath(new URL('../bin/egretyoke-gateway-soak.js', import.meta.url))
const run = (...args: string[]) => promisify(execFile)(process.execPath, [program, ...args])

test('--help lists the options and exit codes', async t => {
  const { stdout } = await run('--help')
  t.regex(stdout, /--seeds/)
  t.regex(stdout, /Exit codes/)
})

test('an option value that is not a number is bad usage', async t => {
  const failure = await t.throwsAsync(run('--seconds', 'soon')) as { code?: number }
  t.is(failure.code, exitCodes.badUsage)
})
