import test from 'ava'
import { execFile } from 'node:child_process'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import { documentNames } from '@egretyoke/config'
import { documentTexts, smallFleet, startFleet } from '@egretyoke/testbed'

const program = fileURLToPath(new URL('../bin/egretyoke-load.js', import.meta.url))
const run = (args: string[]) => promisify(execFile)(process.execPath, [program, ...args])

test('egretyoke-load sends load to a running deployment and checks it against the database logs', async t => {
  const fleet = await startFleet(smallFleet(1), { withoutStewards: true })
  try {
    const folder = mkdtempSync(join(tmpdir(), 'egretyoke-load-'))
    const texts = documentTexts(fleet.configuration())
    for (const name of documentNames) writeFileSync(join(folder, `${name}.jsonc`), texts[name].text)
    const keys = join(folder, 'keys.jsonc')
    writeFileSync(keys, `// Only one workspace sends requests.\n${JSON.stringify({ 'yard-1': fleet.keyOf('yard-1') })}`)
    const primary = fleet.configuration().groups['group-1'].endpoints['db-1'].address
    const { stdout } = await run([
      '--entry', fleet.callerAddress('vm-1'), '--health', fleet.healthAddress('vm-1'),
      '--primary', `group-1=${primary}`, '--configuration', folder, '--keys', keys,
      '--seconds', '4', '--share-of-rate', '0.1', '--json'
    ])
    const measures = JSON.parse(stdout)
    t.true(measures.done > 0)
    t.deepEqual(measures.checkedGroups, ['group-1'])
    t.deepEqual(Object.keys(measures.workspaces), ['yard-1'])
    t.is(measures.lostConfirmedWrites, 0)
  } finally {
    await fleet.close()
  }
})

test('egretyoke-load prints the findings of invalid input files', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'egretyoke-load-'))
  for (const name of documentNames) writeFileSync(join(folder, `${name}.jsonc`), '{ "bogus": 1 }')
  const error = await t.throwsAsync<Error & { code: number, stderr: string }>(
    run(['--entry', '127.0.0.1:1', '--configuration', folder, '--keys', join(folder, 'profiles.jsonc')]))
  t.is(error?.code, 3)
  t.true(error?.stderr.includes('profiles.jsonc:1:'))
})
