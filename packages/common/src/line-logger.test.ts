/**
 * Log lines that are buffered when a process ends.
 */
import { spawnSync } from 'node:child_process'
import test from 'ava'

const logger = new URL('line-logger.js', import.meta.url).href

/** Standard output of a process that logs `lines` events and then runs `ending`. */
const outputOf = (lines: number, ending: string) => {
  const script = `
    const { createLineLogger } = await import('${logger}')
    const { log } = createLineLogger('test')
    for (let line = 1; line <= ${lines}; line++) log({ id: line, name: 'numbered', meaning: '' })
    ${ending}
  `
  return spawnSync(process.execPath, ['--input-type=module', '-e', script], { encoding: 'utf8' }).stdout
}

for (const { title, ending } of [
  { title: 'exits', ending: 'process.exit(0)' },
  { title: 'throws', ending: 'throw new Error("unexpected")' },
  { title: 'has nothing left to do', ending: '' }
]) {
  test(`a process that ${title} writes all of its log lines`, t => {
    const events = outputOf(200, ending).trim().split('\n').map(line => JSON.parse(line).event)
    t.deepEqual(events, Array.from({ length: 200 }, (_, index) => index + 1))
  })
}
