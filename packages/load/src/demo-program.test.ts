import test from 'ava'
import { execFile } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'

const program = fileURLToPath(new URL('../bin/egretyoke-demo.js', import.meta.url))
const measureNames = [
  'statements', 'readsByReplicaShare', 'failoverGapMs', 'worstWorkspaceShare', 'wrongfulRefusals',
  'dataCentreServiceShare'
]
const violations = [
  'sessionViolations', 'lostConfirmedWrites', 'repeatedWrites', 'overAdmitted', 'notRunButRan', 'ageViolations'
]

test('the demo reports the four service measures, violates no guarantee and ends with one line of JSON', async t => {
  const run = await promisify(execFile)(process.execPath, [program, '--seconds', '8', '--json', '--seed', '5'])
  const results = JSON.parse(run.stdout.trim().split('\n').at(-1)!)
  for (const name of measureNames) t.is(typeof results[name], 'number', `${name}: ${results[name]}`)
  for (const name of violations) t.is(results[name], 0, name)
  t.true(results.statements > 0)
})

test('the demo exits with the usage error code on an unknown deployment', async t => {
  const error = await t.throwsAsync<Error & { code: number }>(
    promisify(execFile)(process.execPath, [program, '--deployment', 'nowhere']))
  t.is(error?.code, 2)
})
