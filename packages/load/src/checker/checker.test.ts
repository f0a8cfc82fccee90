import test from 'ava'
import fc from 'fast-check'
import { clockKey } from '../generator.js'
import type { Operation } from '../history.js'
import { measureRun, violatedGuarantees } from '../measures.js'
import { checkRateRefusals, excessAdmitted } from './admission.js'
import type { GroupLogs } from './logged-writes.js'

const operation = (change: Partial<Operation>): Operation => ({
  opId: '',
  workspace: 'yard-1',
  route: 'read',
  group: 'group-1',
  access: 'read',
  isRepeatable: true,
  confirmation: 'majority',
  freshness: 'session',
  maxAgeMs: 0,
  session: 1,
  vm: 0,
  key: 'session-1',
  confirmedWriteCount: 0,
  isReplicaEligible: true,
  intendedMs: 0,
  sentMs: 0,
  receivedMs: 10,
  kind: 'done',
  reason: '',
  result: '',
  endpoint: 'db-1',
  fromReplica: true,
  ...change
})

const write = (opId: string, change: Partial<Operation> = {}): Operation => operation({
  opId, route: 'write', access: 'write', isRepeatable: false, freshness: 'primary', isReplicaEligible: false, ...change
})

const logOf = (...opIds: string[]): GroupLogs => new Map([['group-1', opIds.map((opId, index) =>
  ({ term: 1, position: index + 1, statements: [`add session-1 1 op=${opId}`] }))]])

const configuration = {
  profiles: {},
  workspaces: { 'yard-1': { ratePerSec: 10, burst: 5, weight: 1, keys: {}, routes: {} } },
  groups: {},
  dataCentres: {}
}

const measure = (operations: Operation[], logs: GroupLogs = logOf()) => measureRun(
  { operations, durationMs: 1_000 }, configuration, logs, { failovers: [], dataCentreWindows: [], endedMs: 1_000 })

const cases: Array<{ title: string, operations: Operation[], logs?: GroupLogs, violated: string[] }> = [
  { title: 'a confirmed write that is in the log', operations: [write('a')], logs: logOf('a'), violated: [] },
  { title: 'a confirmed write missing from the log', operations: [write('a')], violated: ['lostConfirmedWrites'] },
  {
    title: 'a write confirmed by the primary alone and missing from the log',
    operations: [write('a', { confirmation: 'primary' })],
    violated: []
  },
  { title: 'a write that ran twice', operations: [write('a')], logs: logOf('a', 'a'), violated: ['repeatedWrites'] },
  {
    title: 'a repeatable write that ran twice',
    operations: [write('a', { isRepeatable: true })],
    logs: logOf('a', 'a'),
    violated: []
  },
  {
    title: 'a write with unknown outcome that ran twice',
    operations: [write('a', { kind: 'outcomeUnknown' })],
    logs: logOf('a', 'a'),
    violated: ['repeatedWrites']
  },
  {
    title: 'a refused write that ran',
    operations: [write('a', { kind: 'notRun', reason: 'deadline' })],
    logs: logOf('a'),
    violated: ['notRunButRan']
  },
  {
    title: 'a read that misses a write of its session',
    operations: [operation({ confirmedWriteCount: 2, result: '1' })],
    violated: ['sessionViolations']
  },
  {
    title: 'a read that returns more than its session wrote',
    operations: [operation({ confirmedWriteCount: 2, result: '3' })],
    violated: []
  },
  {
    title: 'a read older than its maximum age',
    operations: [
      write('a', { key: clockKey, result: '7', receivedMs: 100 }),
      operation({ key: clockKey, freshness: 'maxAge', maxAgeMs: 50, sentMs: 151, receivedMs: 160, result: '6' })
    ],
    logs: logOf('a'),
    violated: ['ageViolations']
  },
  {
    title: 'a read just within its maximum age',
    operations: [
      write('a', { key: clockKey, result: '7', receivedMs: 100 }),
      operation({ key: clockKey, freshness: 'maxAge', maxAgeMs: 50, sentMs: 149, receivedMs: 160, result: '6' })
    ],
    logs: logOf('a'),
    violated: []
  },
  {
    title: 'more admitted at once than the burst',
    operations: Array.from({ length: 7 }, () => operation({ sentMs: 10, receivedMs: 20 })),
    violated: ['overAdmitted']
  },
  {
    title: 'exactly the burst admitted at once',
    operations: Array.from({ length: 5 }, () => operation({ sentMs: 10, receivedMs: 20 })),
    violated: []
  }
]

for (const { title, operations, logs, violated } of cases) {
  test(`checker: ${title}`, t => {
    t.deepEqual(violatedGuarantees(measure(operations, logs)), violated)
  })
}

test('excess admissions are found in a late interval', t => {
  const slow = Array.from({ length: 20 }, (_, index) => operation({ sentMs: index * 200, receivedMs: index * 200 }))
  const burst = Array.from({ length: 12 }, () => operation({ sentMs: 9_000, receivedMs: 9_100 }))
  t.is(excessAdmitted(slow, { ratePerSec: 10, burst: 5 }), 0)
  t.is(excessAdmitted([...slow, ...burst], { ratePerSec: 10, burst: 5 }), 6)
})

test('the excess equals the result of a brute-force check of all intervals', t => {
  const times = fc.record({ sentMs: fc.integer({ min: 0, max: 2_000 }), durationMs: fc.integer({ min: 0, max: 300 }) })
  fc.assert(fc.property(fc.array(times, { minLength: 1, maxLength: 40 }), list => {
    const operations = list.map(({ sentMs, durationMs }) => operation({ sentMs, receivedMs: sentMs + durationMs }))
    const excesses = operations.flatMap(first => operations.map(last => {
      const inside = operations.filter(one => one.sentMs >= first.sentMs && one.receivedMs <= last.receivedMs)
      return inside.length === 0 ? 0 : inside.length - 2 - 10 * (last.receivedMs - first.sentMs) / 1_000
    }))
    t.is(excessAdmitted(operations, { ratePerSec: 10, burst: 2 }), Math.floor(Math.max(0, ...excesses) + 1e-6))
  }), { seed: 5, numRuns: 200 })
})

test('a refusal counts as wrongful only while the offered load is within rate and burst', t => {
  const refused = (sentMs: number) => operation({ sentMs, kind: 'notRun', reason: 'rate' })
  const steady = Array.from({ length: 10 }, (_, index) => refused(index * 200))
  t.is(checkRateRefusals(steady, { ratePerSec: 10, burst: 5 }).wrongfulRefusals, 10)
  const flood = Array.from({ length: 100 }, (_, index) => refused(index * 10))
  const checked = checkRateRefusals(flood, { ratePerSec: 10, burst: 5 })
  t.is(checked.wrongfulRefusals, 5)
  t.is(checked.within.length, 14)
})

test('the gap of a failover is the longest time without a confirmed write of its group', t => {
  const operations = [100, 200, 1_900, 2_000].map((receivedMs, index) => write(`w${index}`, { receivedMs }))
  const events = { failovers: [{ group: 'group-1', atMs: 250 }], dataCentreWindows: [], endedMs: 2_050 }
  const measures = measureRun({ operations, durationMs: 1_000 }, configuration, new Map(), events)
  t.is(measures.failoverGapMs, 1_700)
})

test('requests served by an evacuated data centre are measured until its return', t => {
  const window = { fromMs: 100, backMs: 5_000, toMs: 8_000, vms: [2], endpoints: ['db-9'] }
  const operations = [
    operation({ sentMs: 150, vm: 2 }),
    operation({ sentMs: 400, endpoint: 'db-9' }),
    operation({ sentMs: 900, vm: 2, kind: 'notRun', reason: 'dataCentreOut' }),
    operation({ sentMs: 6_000, vm: 2 })
  ]
  const events = { failovers: [], dataCentreWindows: [window], endedMs: 9_000 }
  const measures = measureRun({ operations, durationMs: 9_000 }, configuration, new Map(), events)
  t.is(measures.lastNewWorkAfterOutMs, 300)
  t.is(measures.dataCentreServiceShare, 0.75)
})

test('during an evacuation, a workspace above its rate counts only its requests within the rate', t => {
  const window = { fromMs: 0, backMs: 1_000, toMs: 1_000, vms: [], endpoints: [] }
  const refused = Array.from({ length: 5 }, (_, index) =>
    operation({ sentMs: index, kind: 'notRun', reason: 'rate' }))
  const admitted = Array.from({ length: 5 }, (_, index) => operation({ sentMs: 10 + index }))
  const events = { failovers: [], dataCentreWindows: [window], endedMs: 1_000 }
  const operations = [...refused, ...admitted]
  t.is(measureRun({ operations, durationMs: 1_000 }, configuration, new Map(), events).dataCentreServiceShare, 1)
})
