/**
 * A process gets SIGTERM. Callers go on with single reads on their open sessions, each answered by the database within
 * the route's timeout and well before the end of the grace period. No answer may be cut off.
 */
import { fileURLToPath } from 'node:url'
import { keys, startDeployment } from '../standins-2/deployment.mjs'
import { bounds, hasTrouble, openCaller, runCase, sleep } from '../standins-2/system.mjs'

/** The timeout of the route is 2,000 ms. */
const firstMs = 1500
const secondMs = 1780
const firstSentMs = 1300
const callers = 2

runCase(fileURLToPath(new URL('.', import.meta.url)), async ({ record, folder, onEnd }) => {
  const doneAtMs = new Map()
  const { gateways: [gateway] } = await startDeployment({
    record,
    folder,
    onEnd,
    gateways: 1,
    workMs: (statement, requestId) => {
      const workMs = requestId.startsWith('first') ? firstMs : requestId.startsWith('second') ? secondMs : 3
      doneAtMs.set(requestId, performance.now() + workMs)
      return workMs
    }
  })
  const sessions = []
  for (let caller = 1; caller <= callers; caller++) {
    const session = await openCaller(gateway.front, 'boards', keys.alpha)
    const answer = await session.query(`warm-${caller}`, 'READ item')
    if (answer.error) throw new Error(`the first read of a session failed: ${answer.error}`)
    sessions.push(session)
  }

  await sleep(bounds.stableWindowMs)
  const signalledMs = performance.now()
  const sinceSignal = () => Math.round(performance.now() - signalledMs)
  if (hasTrouble) gateway.signal('SIGTERM')
  await sleep(firstSentMs)

  const breaches = []
  await Promise.all(sessions.map(async (session, index) => {
    const first = await session.query(`first-${index + 1}`, 'READ item')
    record('caller', `first-${index + 1}: ${first.error ?? 'answered'} at ${sinceSignal()} ms`)
    if (first.error) return
    const sentMs = sinceSignal()
    const id = `second-${index + 1}`
    const second = await session.query(id, 'READ item')
    const endedMs = sinceSignal()
    const doneMs = Math.round((doneAtMs.get(id) ?? Infinity) - signalledMs)
    const result = second.error === undefined ? 'answered' : `${second.error} ${second.message}`
    record('caller', `${id}: sent at ${sentMs} ms, ${result} at ${endedMs} ms, done at the database at ${doneMs} ms`)
    const wasCut = second.error === 'CLOSED' && doneAtMs.has(id)
    const isExcused = doneMs > bounds.graceS * 1000 * 5 / 6 && sentMs <= 3000
    if (wasCut && !isExcused) {
      breaches.push(`LOST: ${id} was passed on to a database, and its connection ended without an answer ` +
        `${endedMs - sentMs} ms after it was sent`)
    }
  }))
  return breaches
})
