/**
 * Long statements that many gateways forward to one holder at once.
 */
import test from 'ava'
import { createByteAccount } from '../../state/byte-account.js'
import { writeRequest } from '../../testing/holder-environment.js'
import { notRun } from '../sessions/statement.js'
import { limitRelayedBytes } from './relayed-bytes.js'

const mebibyte = 1024 * 1024
const longest = 'x'.repeat(mebibyte)

// Guards against the memory of statements that wait for a slot, and against one workspace that keeps others out.
test('statements beyond the bound are refused and not run, those of another workspace run', async t => {
  const account = createByteAccount({ maxBytes: 32 * mebibyte })
  const finish: Array<() => void> = []
  const run = limitRelayedBytes(account, async () => {
    await new Promise<void>(resolve => finish.push(resolve))
    return { ...notRun(''), status: 'DONE' as const }
  })
  const send = (workspace: string) => run({ ...writeRequest({ requestId: 'r' }), workspace, text: longest })
  const greedy = Array.from({ length: 20 }, () => send('greedy'))
  const modest = send('modest')
  t.is(finish.length, 9)
  t.is(account.heldBytes('relayed'), 9 * mebibyte)
  for (const each of finish) each()
  const outcomes = await Promise.all(greedy)
  t.is(outcomes.filter(({ status }) => status === 'DONE').length, 8)
  t.is(outcomes.filter(({ status, reason }) => status === 'NOT_RUN' && reason === 'busy').length, 12)
  t.is((await modest).status, 'DONE')
  t.is(account.heldBytes(), 0)
})

// Guards against bytes that stay counted when a statement ends with an exception.
test('a statement that throws is counted no longer', async t => {
  const account = createByteAccount({ maxBytes: 32 * mebibyte })
  const run = limitRelayedBytes(account, async () => { throw new Error('broken') })
  await t.throwsAsync(run({ ...writeRequest({ requestId: 'r' }), text: longest }))
  t.is(account.heldBytes(), 0)
})
