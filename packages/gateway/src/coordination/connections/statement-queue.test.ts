/**
 * Order of statements at a database with too little room, in virtual time.
 */
import test from 'ava'
import { createStatementQueue } from './statement-queue.js'
import { writeRequest } from '../../testing/holder-environment.js'
import type { StatementRequest } from '../sessions/statement.js'

const serviceMs = 10
const slots = 4

type Waiting = { request: StatementRequest, arrivedAtMs: number }

const writeOf = (priority: number, workspace = 'yard-a') => writeRequest({ priority, workspace })
const readOf = (priority: number, workspace = 'yard-a') =>
  writeRequest({ access: 'READ', maxStalenessMs: 1500, priority, workspace })

/** A queue in front of a database whose statements all take the same time. */
const createSimulation = (limit = slots, ready?: ReadonlySet<string>, startable?: ReadonlySet<string>) => {
  const time = { nowMs: 0 }
  const running: Array<{ request: StatementRequest, endsAtMs: number }> = []
  const dropped: StatementRequest[] = []
  const served: Array<{ request: StatementRequest, waitedMs: number }> = []
  const runningOf = (workspace: string) => running.filter(({ request }) => request.workspace === workspace).length
  const queue = createStatementQueue<Waiting>({
    onDropped: ({ request }) => dropped.push(request),
    serviceMs: () => serviceMs,
    runningOf,
    limit: () => limit,
    canStart: workspace => startable?.has(workspace) ?? true,
    isReady: workspace => ready?.has(workspace) ?? true,
    nowMs: () => time.nowMs
  })
  const push = (request: StatementRequest, count = 1, timeMs = 1e6) => {
    for (let index = 0; index < count; index++) {
      queue.push({ request, arrivedAtMs: time.nowMs }, time.nowMs + timeMs)
    }
  }
  const dispatch = () => {
    while (running.length < limit) {
      const next = queue.pop()
      if (next === undefined) return
      running.push({ request: next.request, endsAtMs: time.nowMs + serviceMs })
      served.push({ request: next.request, waitedMs: time.nowMs - next.arrivedAtMs })
    }
  }
  const runFor = (ms: number, arrive: () => void = () => {}) => {
    for (const endMs = time.nowMs + ms; time.nowMs < endMs; time.nowMs++) {
      arrive()
      running.splice(0, Infinity, ...running.filter(({ endsAtMs }) => endsAtMs > time.nowMs))
      dispatch()
    }
  }
  const takeAll = () => {
    const taken: StatementRequest[] = []
    for (let next = queue.pop(); next !== undefined; next = queue.pop()) taken.push(next.request)
    return taken
  }
  return { queue, time, push, runFor, takeAll, served, dropped, runningOf }
}

test('what only this database can run is served before reads that a replica could serve, each by priority', t => {
  const { push, takeAll } = createSimulation()
  const inOrder = [writeOf(0), writeOf(1), writeOf(2), readOf(0), readOf(1), readOf(7)]
  for (const request of [...inOrder].reverse()) push(request)
  t.deepEqual(takeAll(), inOrder)
})

test('a read at a replica, or one that may be stale, is not taken for one that only this database can run', t => {
  const { push, takeAll } = createSimulation()
  const replicaRead = writeRequest({ access: 'READ', needsPrimary: false, priority: 0 })
  const primaryRead = writeRequest({ access: 'READ', priority: 1 })
  const firstOfTransaction = { ...readOf(1), transaction: 'OPEN_READ_WRITE' as const }
  for (const request of [replicaRead, readOf(0), primaryRead, firstOfTransaction]) push(request)
  t.deepEqual(takeAll(), [primaryRead, firstOfTransaction, replicaRead, readOf(0)])
})

// Guards against statements of low priority that expire behind more urgent ones that keep arriving.
test('lower priorities get a part of the slots while more urgent statements fill the database', t => {
  const { push, runFor, served, time } = createSimulation()
  push(readOf(2), 10, 1000)
  push(writeOf(2), 10, 1000)
  runFor(1000, () => { if (time.nowMs % 2 === 0) push(writeOf(0), 1, 500) })
  const [reads, writes] = ['READ', 'WRITE'].map(access =>
    served.filter(({ request }) => request.priority === 2 && request.access === access).length)
  const urgent = served.filter(({ request }) => request.priority === 0).length
  t.deepEqual([reads, writes], [10, 10])
  t.true(urgent >= 0.85 * served.length, `${urgent} of ${served.length}`)
})

// Guards against one workspace at several times its rate whose statements occupy all slots.
test('while others wait, one workspace runs on at most half of the slots', t => {
  const { push, runFor, runningOf } = createSimulation()
  push(writeOf(0, 'heavy'), 100)
  runFor(5)
  t.is(runningOf('heavy'), slots)
  push(writeOf(0, 'light'), 100)
  runFor(100)
  t.deepEqual([runningOf('heavy'), runningOf('light')], [slots / 2, slots / 2])
})

test('a bound on a workspace leaves no slot free', t => {
  const { push, runFor, served } = createSimulation()
  push(writeOf(0, 'only'), 40)
  runFor(40 * serviceMs / slots)
  t.is(served.length, 40)
})

test('the statements of a workspace are served by the time that they have left', t => {
  const { push, takeAll } = createSimulation()
  const [late, early] = [{ ...writeOf(0), requestId: 'late' }, { ...writeOf(0), requestId: 'early' }]
  push(late, 1, 900)
  push(early, 1, 200)
  t.deepEqual(takeAll(), [early, late])
})

// Guards against refusals because of statements that would be served later than the new one.
test('the expected wait is that of a simulated statement, whatever its band and workspace', t => {
  for (const probe of [writeOf(0, 'new'), writeOf(1, 'heavy'), readOf(2, 'new'), readOf(0, 'heavy')]) {
    const { queue, push, runFor, served, time } = createSimulation(1)
    push(writeOf(1, 'heavy'), 20)
    push(readOf(1, 'yard-b'), 6)
    const expectedMs = queue.aheadMs(probe, 1e6)
    const request = { ...probe, requestId: 'probe' }
    push(request)
    runFor(1000)
    const waitedMs = served.find(entry => entry.request === request)!.waitedMs
    t.true(Math.abs(waitedMs - expectedMs) <= 4 * serviceMs, `${expectedMs} expected, ${waitedMs} waited`)
    t.is(time.nowMs, 1000)
  }
})

test('sizes are counted by priority, and the last one includes all lower priorities', t => {
  const { queue, push, dropped, time } = createSimulation()
  push(writeOf(0), 2, 50)
  push(readOf(0), 1, 50)
  push(readOf(2), 1)
  push(writeOf(9), 1)
  t.deepEqual(queue.sizes(), [3, 0, 2])
  time.nowMs = 60
  queue.dropExpired()
  t.deepEqual([queue.size(), dropped.length], [2, 3])
})

// Guards against statements that are queued, although more urgent ones that keep arriving let them expire.
test('the expected wait includes more urgent statements that arrive meanwhile', t => {
  const { queue, push, runFor, served, time } = createSimulation()
  // Three of four slots are taken by urgent statements.
  const arrive = () => { if (time.nowMs % serviceMs === 0) push(writeOf(0, `yard-${time.nowMs % 50}`), 3) }
  runFor(3000, arrive)
  push(writeOf(1), 19)
  const expectedMs = queue.aheadMs(writeOf(1), time.nowMs + 1e6) / slots
  const request = { ...writeOf(1), requestId: 'probe' }
  push(request)
  runFor(1000, arrive)
  const { waitedMs } = served.find(entry => entry.request === request)!
  t.true(waitedMs >= 150, `${waitedMs}`)
  t.true(Math.abs(waitedMs - expectedMs) <= 0.3 * waitedMs, `${expectedMs} expected, ${waitedMs} waited`)
})

// Guards against slots that go to new connections, of which each takes as long as a statement.
test('statements whose workspace has an idle connection are preferred, but four of five at most', t => {
  const { push, takeAll } = createSimulation(slots, new Set(['yard-b']))
  push(writeOf(0, 'yard-a'), 40)
  push(writeOf(0, 'yard-b'), 40)
  const first = takeAll().slice(0, 40)
  t.is(first.filter(({ workspace }) => workspace === 'yard-b').length, 32)
})

test('a connection at hand does not change the order of priorities', t => {
  const { push, takeAll } = createSimulation(slots, new Set(['yard-b']))
  push(writeOf(1, 'yard-b'))
  push(writeOf(0, 'yard-a'))
  t.deepEqual(takeAll().map(({ priority }) => priority), [0, 1])
})

// Guards against statements that hold run places while they wait for connections.
test('a statement for which no connection can be had stays in the queue, and lets the others pass', t => {
  const startable = new Set(['yard-b'])
  const { queue, push, takeAll } = createSimulation(slots, startable, startable)
  push(writeOf(0, 'yard-a'), 3)
  push(writeOf(0, 'yard-b'))
  push(readOf(2, 'yard-b'))
  t.deepEqual(takeAll().map(({ workspace }) => workspace), ['yard-b', 'yard-b'])
  t.is(queue.size(), 3)
})
