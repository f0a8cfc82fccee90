/**
 * Messages near the limits of the protocol, through gateway processes: what is too large is refused to its caller, and
 * no other caller notices.
 */
import test from 'ava'
import type { CallerConnection } from './caller-connection.js'
import { sessionWorkspaces, startSessionEnvironment } from './session-environment.js'
import type { SessionEnvironment } from './session-environment.js'

let environment: SessionEnvironment
test.before(async () => { environment = await startSessionEnvironment() })
test.after.always(async () => { await environment.close() })

const [, workspaceB, workspaceC] = sessionWorkspaces
const part = 'x'.repeat(1_000_000)
const maxMessageBytes = 1024 * 1024

const writerCount = 8

/** Callers that each write one statement after another until stopped; returns their errors, '' for a success. */
const startWriters = async (gateway: number, workspace: string) => {
  let isStopped = false
  const errors: string[] = []
  const write = async (caller: CallerConnection, writer: number) => {
    while (!isStopped) {
      const reply = await caller.send(`QUERY w${gateway}-${writer}-${errors.length} WRITE 1a4 data`)
      errors.push(reply?.error ?? 'no reply')
    }
    caller.close()
  }
  const openers = Array.from({ length: writerCount }, () => environment.openCaller(gateway, workspace))
  const finished = (await Promise.all(openers)).map(write)
  return async () => {
    isStopped = true
    await Promise.all(finished)
    return errors
  }
}

for (const gateway of [0, 1]) {
  test.serial(`values of several messages in a session cost other workspaces nothing, gateway ${gateway}`, async t => {
    const stop = await startWriters(gateway, workspaceC)
    const caller = await environment.openCaller(gateway, workspaceB)
    const replies: string[] = []
    for (let index = 0; index < 5; index++) {
      const reply = await caller.send(`QUERY s${index} SET v${index} ${part}`)
      replies.push(reply?.error ?? 'no reply')
    }
    replies.push((await caller.send('QUERY r READ 1a4'))?.error ?? 'no reply')
    const errors = await stop()
    t.deepEqual(new Set(errors), new Set(['']), `${errors.length} writes`)
    t.deepEqual(replies, ['', '', 'BUSY', 'BUSY', 'BUSY', ''])
    caller.close()
  })

  test.serial(`a statement of the longest message runs, also with the largest state, gateway ${gateway}`, async t => {
    const caller = await environment.openCaller(gateway, workspaceB)
    const line = `QUERY long${gateway} WRITE 1a4 `.padEnd(maxMessageBytes, 'x')
    t.is((await caller.send(line))?.error, '')
    for (const name of ['a', 'b']) t.is((await caller.send(`QUERY s SET ${name} ${part}`))?.error, '')
    t.is((await caller.send(line))?.error, '')
    t.is(environment.database.runs.at(-1)?.text.length, maxMessageBytes - `QUERY long${gateway} `.length)
    caller.close()
  })

  test.serial(`what is acknowledged by PREPARE and SET can be sent to a database, gateway ${gateway}`, async t => {
    for (const length of [maxMessageBytes, maxMessageBytes - 100]) {
      const caller = await environment.openCaller(gateway, workspaceC)
      const prepared = await caller.send('QUERY p PREPARE s WRITE '.padEnd(length, 'q'))
      const executed = await caller.send('QUERY e EXECUTE s 1a4 data')
      t.deepEqual([prepared?.error, executed?.error], length === maxMessageBytes ? ['BUSY', 'NOSTMT'] : ['', ''])
      const set = await caller.send('QUERY s SET v '.padEnd(length, 'q'))
      const read = await caller.send('QUERY r READ 1a4')
      t.deepEqual([set?.error, read?.error], length === maxMessageBytes ? ['BUSY', ''] : ['', ''])
      caller.close()
    }
  })

  test.serial(`an execution that is too long for a database is named as such, gateway ${gateway}`, async t => {
    const caller = await environment.openCaller(gateway, workspaceB)
    t.is((await caller.send('QUERY p PREPARE s WRITE q2b'))?.error, '')
    const reply = await caller.send('QUERY - EXECUTE s 1a4 '.padEnd(maxMessageBytes, 'x'))
    t.like(reply, { error: 'FAILED', message: 'not run: the statement is malformed or too long' })
    t.is((await caller.send('QUERY e EXECUTE s 1a4 data'))?.error, '')
    caller.close()
  })
}
