/**
 * Prepared statements of callers whose names collide, through gateway processes: each runs as its caller prepared it.
 */
import test from 'ava'
import type { CallerConnection } from './caller-connection.js'
import { sessionWorkspaces, startSessionEnvironment } from './session-environment.js'
import type { SessionEnvironment } from './session-environment.js'

let environment: SessionEnvironment
test.before(async () => { environment = await startSessionEnvironment() })
test.after.always(async () => { await environment.close() })

/** A caller that has prepared `s1`. */
type PreparedCaller = { caller: CallerConnection, prepared: string }

const prepareAt = async (gateway: number, workspace: string, prepared: string): Promise<PreparedCaller> => {
  const caller = await environment.openCaller(gateway, workspace)
  await caller.send(`QUERY p PREPARE s1 ${prepared}`)
  return { caller, prepared }
}

const plain = 'WRITE q2b'
const blanks = 'WRITE q2b WRITE rk'
let requestCount = 0

/** Executes the `s1` of each caller in turn; returns what should have run, what ran, and the connections used. */
const executeInTurn = async (callers: readonly PreparedCaller[]) => {
  const expected: string[] = []
  const firstRun = environment.database.runs.length
  for (const { caller, prepared } of callers) {
    const requestId = `e${++requestCount}`
    await caller.send(`QUERY ${requestId} EXECUTE s1 1a4 data ${requestId}`)
    expected.push(`${requestId}: ${prepared}, 1a4 data ${requestId}`)
  }
  const runs = environment.database.runs.slice(firstRun)
  return {
    expected,
    ran: runs.map(({ requestId, prepared, operands }) => `${requestId}: ${prepared}, ${operands}`),
    connections: new Set(runs.map(({ connection }) => connection))
  }
}

test.serial('shapes of one word run as prepared on one connection, also over the relay', async t => {
  const [workspace] = sessionWorkspaces
  const callers = [
    await prepareAt(0, workspace, 'WRITE q2b'),
    await prepareAt(1, workspace, 'WRITE q2c'),
    await prepareAt(1, workspace, 'READ q2b')
  ]
  const { expected, ran, connections } = await executeInTurn([...callers, ...callers])
  t.deepEqual(ran, expected)
  t.is(connections.size, 1)
})

// Guards against a shape whose blanks make a part of it the name, so that the database runs another shape and operands.
for (const [gateway, workspace] of sessionWorkspaces.slice(1, 3).entries()) {
  test.serial(`a shape with blanks runs as prepared, with its operands, at gateway ${gateway}`, async t => {
    const { expected, ran } = await executeInTurn([await prepareAt(gateway, workspace, blanks)])
    t.deepEqual(ran, expected)
  })
}

// Guards against a caller's shape with blanks that replaces the shape another caller of its workspace has prepared.
for (const [workspace, title, order] of [
  [sessionWorkspaces[3], 'the shorter first', [plain, blanks, plain]],
  [sessionWorkspaces[4], 'the longer first', [blanks, plain, blanks]],
  [sessionWorkspaces[5], 'in turn', [plain, blanks, plain, blanks, plain]]
] as const) {
  test.serial(`a shape that begins with another caller's does not replace it, ${title}`, async t => {
    const callers = new Map<string, PreparedCaller>()
    for (const [gateway, prepared] of [...new Set(order)].entries()) {
      callers.set(prepared, await prepareAt(gateway, workspace, prepared))
    }
    const { expected, ran } = await executeInTurn(order.map(prepared => callers.get(prepared)!))
    t.deepEqual(ran, expected)
  })
}
