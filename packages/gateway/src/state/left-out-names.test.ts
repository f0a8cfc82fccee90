/**
 * Names that a configuration is decoded without: each one is logged, within bounds.
 */
import test from 'ava'
import { createFleetState } from './fleet-state.js'
import type { LeftOutName } from './fleet-state.js'

const logOf = (leftOut: LeftOutName[]) => {
  const lines: Array<Record<string, unknown>> = []
  const configuration = {
    version: 1,
    routes: new Map(),
    groups: new Map(),
    workspaces: new Map(),
    workspaceByKey: new Map(),
    transactionIdleMs: 3000
  }
  const state = createFleetState(() => ({ kind: 'configuration', configuration, leftOut }), ({ name }, fields = {}) => {
    lines.push({ event: name, ...typeof fields === 'function' ? fields() : fields })
  })
  state.apply({ key: 'c', value: Buffer.from('{}'), revision: 3, deleted: false })
  return lines.filter(({ event }) => event === 'configurationNameLeftOut')
}

test('a name that is left out is logged with the reason', t => {
  t.deepEqual(logOf([{ kind: 'workspace', name: 'a b', message: 'no name' }]), [
    { event: 'configurationNameLeftOut', kind: 'workspace', leftOut: 'a b', revision: 3, message: 'no name' }
  ])
})

test('the log of one configuration is bounded in lines and in length', t => {
  const lines = logOf(Array.from({ length: 500 }, () => ({ kind: 'group', name: 'g'.repeat(5000), message: 'long' })))
  t.is(lines.length, 20)
  t.true(lines.every(({ leftOut }) => String(leftOut).length === 200))
})
