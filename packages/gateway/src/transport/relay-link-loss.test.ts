/**
 * Which events end the pending requests of a link: a member that leaves or a peer that is slow does not.
 */
import test from 'ava'
import type { ExecutionContext } from 'ava'
import type { EventFields } from '@egretyoke/common'
import { sleepMs } from '@egretyoke/common'
import { listenGrpc } from '@egretyoke/protocol'
import { notRun } from '../coordination/sessions/statement.js'
import type { Member } from '../state/stored-records.js'
import { addRelayService, createRelayLinks } from './relay-links.js'
import type { RelayRequestHandler } from './relay-links.js'

const timeoutMs = 4000
const channels = { allowPlainText: false }
const done = { statement: { ...notRun(''), status: 'DONE' as const } }

const memberAt = (address: string): Member =>
  ({ name: 'vm-2', dataCentre: 'dc-1', region: 'north', address, incarnation: 'i', draining: false })

const startLink = async (t: ExecutionContext, handle: RelayRequestHandler) => {
  const logged: Array<{ name: string, fields: EventFields }> = []
  const listener = await listenGrpc(
    '127.0.0.1:0', { channels }, server => addRelayService(server, handle, () => {})
  )
  const links = createRelayLinks(channels, () => 2, ({ name }, fields = {}) => {
    logged.push({ name, fields: typeof fields === 'function' ? fields() : fields })
  })
  t.teardown(async () => {
    links.close()
    await listener.close()
  })
  const peer = memberAt(listener.address)
  const run = async (requestId: string) => await links.call(peer, { run: { requestId } }, timeoutMs)
  return { links, peer, run, logged, names: () => logged.map(({ name }) => name) }
}

// Guards against failing the statements at a gateway whose lease lapsed while the store refused it.
test('a member that leaves still answers what it was sent, and then its link is closed', async t => {
  const { links, run, names } = await startLink(t, async request => {
    if (request.run?.requestId === 'slow') await sleepMs(300)
    return done
  })
  await run('first')
  const slow = run('slow')
  links.retain(new Set())
  await sleepMs(50)
  t.deepEqual(names(), [])
  t.is((await slow).unwrap().statement?.status, 'DONE')
  t.deepEqual(names(), ['linkClosed'])
})

// Guards against a connection that nobody uses again: a transaction at a former member opens a link for its remainder.
test('a former member is still reached, by a link that is closed in turn', async t => {
  const { links, run, names } = await startLink(t, async () => done)
  await run('first')
  links.retain(new Set())
  t.is((await run('second')).unwrap().statement?.status, 'DONE')
  links.retain(new Set())
  t.deepEqual(names(), ['linkClosed', 'linkClosed'])
})

/** Delays each reply, also to pings, that would be sent before `untilMs`. */
const startSlowLink = async (t: ExecutionContext) => {
  let slowUntilMs = 0
  const link = await startLink(t, async request => {
    await sleepMs(Math.max(0, slowUntilMs - performance.now()))
    return request.ping ? { pong: { ready: true } } : done
  })
  await link.run('first')
  return { ...link, beSlowFor: (ms: number) => { slowUntilMs = performance.now() + ms } }
}

// Guards against failing everything that is under way at a peer that replies late under load.
test('the statements at a peer that is slow for a second are answered', async t => {
  const { run, beSlowFor, names, links, peer } = await startSlowLink(t)
  beSlowFor(1000)
  const running = ['second', 'third'].map(run)
  for (const reply of await Promise.all(running)) t.is(reply.unwrap().statement?.status, 'DONE')
  t.true(links.isUsable(peer))
  t.false(links.isSuspected(peer))
  t.false(names().includes('peerLost'))
})

// Guards against statements that wait for a hung process until their own timeout.
test('a peer that no longer replies is given up, and the loss is logged with what failed', async t => {
  const { run, beSlowFor, logged, links, peer } = await startSlowLink(t)
  beSlowFor(timeoutMs)
  const replies = await Promise.all(['second', 'third'].map(run))
  t.deepEqual(replies.map(reply => reply.err && reply.val.reason), ['lost', 'lost'])
  t.false(links.isUsable(peer))
  const loss = { reason: 'silent', lostRequests: 2, unsentRequests: 0 }
  t.like(logged.at(-1), { name: 'peerLost', fields: { peer: 'vm-2', address: peer.address, ...loss } })
})
