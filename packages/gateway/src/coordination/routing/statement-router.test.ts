/**
 * Attempts of one gateway's statements at holders that cannot run them.
 */
import { createRandom } from '@egretyoke/common'
import test from 'ava'
import { createRouterEnvironment, doneOutcome, readRequest, routeTo } from '../../testing/router-environment.js'
import { writeRequest } from '../../testing/holder-environment.js'
import { notRun } from '../sessions/statement.js'
import type { Route } from '../../state/configuration.js'

const groups = ['one', 'two', 'three', 'four', 'five', 'six']

type Environment = ReturnType<typeof createRouterEnvironment>

/** Routes one statement of the group; returns its status and the time that it took. */
const send = async ({ router, nowMs }: Environment, group: string, kind: Route['kind'], ownPosition = '') => {
  const startedAtMs = nowMs()
  const needsPrimary = kind === 'primary'
  const request = needsPrimary ? writeRequest({ group, timeoutMs: 800 }) : readRequest({ group, ownPosition })
  const { outcome } = await router.route({ request, route: routeTo(group, kind), regions: [], needsPrimary })
  return { status: outcome.status, ms: nowMs() - startedAtMs }
}

/** Sends a statement to each group every 10 ms. */
const sendFor = async (environment: Environment, durationMs: number, kind: Route['kind']) =>
  await environment.run(async () => {
    const running: Array<ReturnType<typeof send>> = []
    for (let sentMs = 0; sentMs < durationMs; sentMs += 10) {
      running.push(...groups.map(group => send(environment, group, kind)))
      await environment.sleep(10)
    }
    const results = await Promise.all(running)
    return {
      statements: results.length,
      done: results.filter(({ status }) => status === 'DONE').length,
      maxMs: Math.max(...results.map(({ ms }) => ms))
    }
  })

const databasesOf = ({ attempts }: Environment) => attempts.splice(0).map(({ request: { database } }) => database)

// Guards against attempts that multiply on the side of a partition that has lost the store.
test('where no holder has contact with the store, statements cost less than one attempt each', async t => {
  const environment = createRouterEnvironment(30, groups, () => notRun('noContact'), { hasContact: () => false })
  const { done, maxMs, statements } = await sendFor(environment, 400, 'primary')
  t.is(done, 0)
  t.true(environment.attempts.length < statements, `${environment.attempts.length} attempts of ${statements}`)
  t.false(environment.attempts.some(({ holder }) => holder === environment.self.name))
  t.true(maxMs < 300, `${maxMs} ms`)
})

// Guards against a holder without lease that is tried again for each group.
test('where the nearest holders have lost the store, all statements are done with few further attempts', async t => {
  const environment = createRouterEnvironment(30, groups, ({ name }) =>
    ['vm-0', 'vm-3'].includes(name) ? notRun('noContact') : doneOutcome())
  const { done, statements } = await sendFor(environment, 2000, 'primary')
  t.is(done, statements)
  const inVain = environment.attempts.length - statements
  t.true(inVain < 0.03 * statements, `${inVain} attempts in vain of ${statements}`)
  const lost = environment.events.filter(({ name, hasContact }) => name === 'holderContactChanged' && !hasContact)
  t.deepEqual(lost.map(({ holder }) => holder).sort(), ['vm-0', 'vm-3'])
})

// Guards against statements that spend their whole time on silent holders, one after the other.
test('after two silent holders a read goes to another database', async t => {
  const environment = createRouterEnvironment(30, groups, (_holder, { database }) =>
    database === 'one-db-2' ? notRun('holderSilent') : doneOutcome())
  t.is((await environment.run(() => send(environment, 'one', 'boundedStaleness'))).status, 'DONE')
  t.deepEqual(databasesOf(environment).map(database => database === 'one-db-2'), [true, true, false])
})

test('a holder without contact with the store still gets the reads of a replica', async t => {
  const environment = createRouterEnvironment(30, groups, () => doneOutcome(), { hasContact: () => false })
  await environment.run(() => send(environment, 'one', 'boundedStaleness'))
  t.deepEqual(environment.attempts.map(({ holder, request }) => [holder, request.database]), [['vm-1', 'one-db-2']])
})

test('the second routing of a statement is paid for like any other attempt', async t => {
  const { router, attempts, run } = createRouterEnvironment(30, groups, () => notRun('lagging'))
  const routing = {
    request: readRequest({ group: 'one' }),
    route: routeTo('one', 'boundedStaleness'),
    regions: [],
    needsPrimary: true,
    previousReason: 'lagging' as const
  }
  await run(async () => { for (let statement = 0; statement < 40; statement++) await router.route(routing) })
  t.true(attempts.length < 10, `${attempts.length} attempts`)
})

// Guards against reads that are sent to each lagging replica before the primary serves them.
test('while both replicas lag by seconds, reads go to the primary with few attempts in vain', async t => {
  const environment = createRouterEnvironment(30, groups, (_holder, { database }) =>
    database.endsWith('db-1') ? doneOutcome() : notRun('lagging'))
  const { done, statements } = await sendFor(environment, 4000, 'boundedStaleness')
  t.is(done, statements)
  const inVain = environment.attempts.length - statements
  t.true(inVain < 48, `${inVain} attempts in vain for ${statements} reads`)
})

/** Sends reads that may lack no commit; returns the databases of the attempts for each. */
const sendStrictReads = async (environment: Environment, count: number) => {
  const databases: string[][] = []
  for (let sent = 0; sent < count; sent++) {
    const request = readRequest({ group: 'one', maxStalenessMs: 0 })
    const routing = { request, route: routeTo('one', 'boundedStaleness'), regions: [], needsPrimary: false }
    await environment.run(() => environment.router.route(routing))
    databases.push(databasesOf(environment))
  }
  return databases
}

// Guards against reads that wait for a position of the primary before they run at a replica, or are declined there.
test('a read whose bound is shorter than the way to the primary runs there, unless it is clearly slower', async t => {
  const calm = createRouterEnvironment(30, groups, () => doneOutcome())
  t.deepEqual(await sendStrictReads(calm, 5), Array(5).fill(['one-db-1']))
  await calm.run(() => send(calm, 'one', 'boundedStaleness'))
  t.deepEqual(databasesOf(calm), ['one-db-2'])
  const busy = createRouterEnvironment(30, groups, (_holder, { database }) =>
    doneOutcome(database === 'one-db-1' ? loadWith(100) : {}))
  t.deepEqual(await sendStrictReads(busy, 2), [['one-db-1'], ['one-db-2']])
})

// Guards against reads that wait in vain for a new position from a gateway that passes on those that it knows.
test('beside a gateway of an earlier version, a short bound leads to the primary, also if that is busy', async t => {
  const environment = createRouterEnvironment(30, groups, (_holder, { database }) =>
    doneOutcome(database === 'one-db-1' ? loadWith(100) : {}))
  environment.members[7]!.readsNewPositions = undefined
  t.deepEqual(await sendStrictReads(environment, 3), Array(3).fill(['one-db-1']))
  await environment.run(() => send(environment, 'one', 'boundedStaleness'))
  t.deepEqual(databasesOf(environment), ['one-db-2'])
})

// Guards against reads of a whole group that leave their region because one session has just written.
test('after a replica lacked the commit of a session, other reads still go to the replica of the region', async t => {
  const environment = createRouterEnvironment(30, groups, (_holder, { database, ownPosition }) =>
    database === 'one-db-2' && ownPosition !== '' ? notRun('lagging') : doneOutcome({ position: '1.8' }))
  const databasesAfter = async (kind: Route['kind'], ownPosition = '') => {
    await environment.run(() => send(environment, 'one', kind, ownPosition))
    return databasesOf(environment)
  }
  t.deepEqual(await databasesAfter('primary'), ['one-db-1'])
  t.is((await databasesAfter('readYourWrites', '1.8'))[0], 'one-db-2')
  t.deepEqual(await databasesAfter('boundedStaleness'), ['one-db-2'])
})

/** The load of a database with 4 slots and this many statements waiting, of all priorities. */
const loadWith = (queued: number) => ({
  load: 4 + queued,
  databaseLoad: {
    slots: 4, pace: 4, inFlight: 4, queued: [queued, 0, 0], serviceMs: 25, position: '', connectionsLeft: 9, ageMs: 0
  }
})

// Guards against reads that leave their region because a replica refused one, with the position of its last reply.
test('a refusal with an old position does not show that the replica lags', async t => {
  let commits = 0
  const { databaseLoad } = loadWith(0)
  const idle = { load: 0, databaseLoad: { ...databaseLoad, inFlight: 0, position: '1.1' } }
  const environment = createRouterEnvironment(30, groups, (_holder, { database, requestId }) => {
    if (database === 'one-db-1') return doneOutcome({ position: `1.${++commits}` })
    return requestId === 'refused' ? { ...notRun('queuedTooLong'), ...idle } : doneOutcome()
  })
  const read = (requestId: string) => environment.router.route({
    request: readRequest({ group: 'one', requestId }),
    route: routeTo('one', 'boundedStaleness'),
    regions: [],
    needsPrimary: false
  })
  await environment.run(async () => {
    for (let write = 0; write < 3; write++) {
      await send(environment, 'one', 'primary')
      await environment.sleep(1500)
    }
    await read('refused')
    environment.attempts.splice(0)
    await read('served')
  })
  t.deepEqual(databasesOf(environment), ['one-db-2'])
  t.false(environment.events.some(({ name }) => name === 'replicaLagChanged'))
})

// Guards against gateways with equally old reports that all choose the same database.
test('while the replica of the region is full, the gateways of the region spread over the other databases', async t => {
  const { fraction } = createRandom(5)
  const chosen: string[] = []
  for (let gateway = 0; gateway < 60; gateway++) {
    const environment = createRouterEnvironment(30, groups, (_holder, { database }) =>
      doneOutcome(loadWith(database === 'one-db-2' ? 60 : 0)), { random: fraction })
    await environment.run(() => send(environment, 'one', 'boundedStaleness'))
    await environment.run(() => send(environment, 'one', 'boundedStaleness'))
    chosen.push(databasesOf(environment)[1]!)
  }
  const shares = ['one-db-1', 'one-db-2', 'one-db-3'].map(id => chosen.filter(other => other === id).length)
  t.is(shares[1], 0)
  t.true(shares[0]! > 15 && shares[2]! > 15, shares.join())
})

// Guards against a replica that gets no reads for good after one report of a queue.
test('a replica that was full is used again once the report is old', async t => {
  const environment = createRouterEnvironment(30, groups, () => doneOutcome(loadWith(60)))
  await environment.run(async () => {
    await send(environment, 'one', 'boundedStaleness')
    await send(environment, 'one', 'boundedStaleness')
    await environment.sleep(5000)
    await send(environment, 'one', 'boundedStaleness')
  })
  const [first, second, third] = databasesOf(environment)
  t.deepEqual([first, second === 'one-db-2', third], ['one-db-2', false, 'one-db-2'])
})

const failed = { ...notRun('failed'), status: 'FAILED' as const }

// Guards against a database that fails a part of the reads of its region although another one would serve them.
test('a single read that a database fails is tried once at another one, and later reads avoid it', async t => {
  const environment = createRouterEnvironment(30, groups, (_holder, { database }) =>
    database === 'one-db-2' ? failed : doneOutcome())
  const statuses = await environment.run(async () => {
    const results: string[] = []
    for (let read = 0; read < 40; read++) results.push((await send(environment, 'one', 'boundedStaleness')).status)
    return results
  })
  t.deepEqual([...new Set(statuses)], ['DONE'])
  const atFailing = databasesOf(environment).filter(database => database === 'one-db-2').length
  t.true(atFailing <= 6, `${atFailing} reads`)
})

test('a read that fails everywhere is tried at two databases at most, and few of them are tried twice', async t => {
  const environment = createRouterEnvironment(30, groups, () => failed)
  await environment.run(async () => {
    t.is((await send(environment, 'one', 'boundedStaleness')).status, 'FAILED')
    t.is(environment.attempts.length, 2)
    for (let read = 1; read < 200; read++) await send(environment, 'one', 'boundedStaleness')
  })
  t.true(environment.attempts.length < 1.4 * 200, `${environment.attempts.length} attempts`)
})

// Guards against a statement that runs twice.
test('a write that the primary fails is not tried again', async t => {
  const environment = createRouterEnvironment(30, groups, () => failed)
  t.is((await environment.run(() => send(environment, 'one', 'primary'))).status, 'FAILED')
  t.is(environment.attempts.length, 1)
})
