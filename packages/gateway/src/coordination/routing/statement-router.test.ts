/**
 * Attempts of one gateway's statements at holders that cannot run them.
 */
import { sleepMs } from '@egretyoke/common'
import test from 'ava'
import {
  createRouterEnvironment, doneOutcome, readRequest, routeTo
} from '../../testing/router-environment.js'
import { writeRequest } from '../../testing/holder-environment.js'
import { notRun } from '../sessions/statement.js'

const groups = ['one', 'two', 'three', 'four', 'five', 'six']

/** Sends one write to each group every 10 ms; returns the number of statements done and their longest time. */
const sendWrites = async ({ router }: ReturnType<typeof createRouterEnvironment>, rounds: number) => {
  const running: Array<Promise<{ isDone: boolean, ms: number }>> = []
  const send = async (group: string) => {
    const startedAtMs = performance.now()
    const { outcome } = await router.route({
      request: writeRequest({ group, timeoutMs: 800 }),
      route: routeTo(group, 'primary'),
      regions: [],
      needsPrimary: true
    })
    return { isDone: outcome.status === 'DONE', ms: performance.now() - startedAtMs }
  }
  for (let round = 0; round < rounds; round++) {
    running.push(...groups.map(send))
    await sleepMs(10)
  }
  const results = await Promise.all(running)
  return { done: results.filter(({ isDone }) => isDone).length, maxMs: Math.max(...results.map(({ ms }) => ms)) }
}

// Guards against attempts that multiply on the side of a partition that has lost the store.
test('where no holder has contact with the store, statements cost less than one attempt each', async t => {
  const environment = createRouterEnvironment(30, groups, () => notRun('noContact'), () => false)
  const { done, maxMs } = await sendWrites(environment, 40)
  const statements = 40 * groups.length
  t.is(done, 0)
  t.true(environment.attempts.length < statements, `${environment.attempts.length} attempts of ${statements}`)
  t.false(environment.attempts.some(({ holder }) => holder === environment.self.name))
  t.true(maxMs < 500, `${maxMs} ms`)
})

// Guards against a holder without lease that is tried again for each group.
test('where the nearest holders have lost the store, all statements are done with few further attempts', async t => {
  const environment = createRouterEnvironment(30, groups, async holder => {
    await sleepMs(1)
    return ['vm-0', 'vm-3'].includes(holder.name) ? notRun('noContact') : doneOutcome()
  })
  const { done } = await sendWrites(environment, 60)
  const statements = 60 * groups.length
  t.is(done, statements)
  const inVain = environment.attempts.length - statements
  t.true(inVain < 0.06 * statements, `${inVain} attempts in vain`)
  const lost = environment.events.filter(({ name, hasContact }) => name === 'holderContactChanged' && !hasContact)
  t.deepEqual(lost.map(({ holder }) => holder).sort(), ['vm-0', 'vm-3'])
})

// Guards against statements that spend their whole time on silent holders, one after the other.
test('after two silent holders a read goes to another database', async t => {
  const { router, attempts } = createRouterEnvironment(30, groups, (_holder, { database }) =>
    database === 'one-db-2' ? notRun('holderSilent') : doneOutcome())
  const request = readRequest({ group: 'one' })
  const { outcome } = await router.route(
    { request, route: routeTo('one', 'boundedStaleness'), regions: [], needsPrimary: false }
  )
  t.is(outcome.status, 'DONE')
  t.deepEqual(attempts.map(({ request: { database } }) => database === 'one-db-2'), [true, true, false])
})

test('a holder without contact with the store still gets the reads of a replica', async t => {
  const { router, attempts } = createRouterEnvironment(30, groups, () => doneOutcome(), () => false)
  await router.route({
    request: readRequest({ group: 'one' }), route: routeTo('one', 'boundedStaleness'), regions: [], needsPrimary: false
  })
  t.deepEqual(attempts.map(({ holder, request }) => [holder, request.database]), [['vm-1', 'one-db-2']])
})

test('the second routing of a statement is paid for like any other attempt', async t => {
  const { router, attempts } = createRouterEnvironment(30, groups, () => notRun('lagging'))
  const routing = {
    request: readRequest({ group: 'one' }), route: routeTo('one', 'boundedStaleness'), regions: [], needsPrimary: true
  }
  for (let statement = 0; statement < 40; statement++) await router.route({ ...routing, previousReason: 'lagging' })
  t.true(attempts.length < 10, `${attempts.length} attempts`)
})
