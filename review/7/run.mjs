/**
 * A primary is dark for 3.5 s and another one is promoted. The store comes back from a copy that was made before the
 * promotion, and one process that was killed meanwhile starts again. No write may be acknowledged from the former
 * primary, which still accepts writes for a second after it is reachable again.
 */
import { fileURLToPath } from 'node:url'
import { configuration, keys, playDrill, startDeployment, waitFor } from '../standins-2/deployment.mjs'
import { hasTrouble, openCaller, runCase, sleep } from '../standins-2/system.mjs'

const darkMs = 3500
const storeAwayMs = 400
const writers = 4
const pauseMs = 10
const judgedMs = 8000

runCase(fileURLToPath(new URL('.', import.meta.url)), async ({ record, folder, onEnd }) => {
  const { store, databases, gateways: [other, killed], writeEntries } =
    await startDeployment({ record, folder, onEnd, lagMs: 20 })
  const [primary] = databases.databases
  const acknowledged = []
  let isOver = false

  const write = async (session, id, gateway) => {
    const answer = await session.query(id, `WRITE item-${id} value-${id}`)
    record('caller', `${id} at ${gateway.name}: ${answer.error ?? `acknowledged ${answer.signature}`}`)
    if (!answer.error) acknowledged.push({ id, signature: answer.signature })
    return answer
  }
  const keepWriting = async (gateway, name, key) => {
    for (let number = 1; !isOver; number++) {
      const session = await openCaller(gateway.front, 'slots', key)
      for (; !isOver && session.query && session.isOpen(); number++) {
        await write(session, `${name}-${number}`, gateway)
        await sleep(pauseMs)
      }
      await sleep(pauseMs)
    }
  }

  const first = await openCaller(other.front, 'slots', keys.alpha)
  if ((await write(first, 'first', other)).error) throw new Error('the first write failed')
  const copy = store.copy()
  await sleep(1000)
  databases.darken(primary, darkMs)
  killed.signal('SIGKILL')
  await waitFor('another primary', () => databases.leader() !== primary, 8000)
  await waitFor('a write at the new primary', async () => {
    const { error } = await write(first, `second-${Date.now()}`, other)
    return !error
  }, 8000)
  const starting = killed.startAgain()
  if (hasTrouble) {
    await playDrill({ store, writeEntries, record, copy, config: configuration(1), awayMs: storeAwayMs })
  }
  await starting
  const writing = Array.from({ length: writers }, (_, index) =>
    keepWriting(killed, `w${index + 1}`, index % 2 ? keys.alpha : keys.beta))
  await sleep(judgedMs)
  isOver = true
  await Promise.all(writing)

  const kept = new Set(databases.leader().log.map(({ item }) => item))
  const lost = acknowledged.filter(({ id }) => !kept.has(`item-${id}`))
  const late = acknowledged.filter(({ signature }) => databases.lateCommits.has(signature))
  record('case', `${acknowledged.length} writes acknowledged, ${late.length} of them at the former primary, ` +
    `${lost.length} missing in the log of the primary`)
  if (acknowledged.length < writers) throw new Error('hardly any write was acknowledged')
  return late.map(({ id, signature }) =>
    `ONE: ${id} was committed at the former primary and acknowledged (${signature})` +
    `${kept.has(`item-${id}`) ? '' : ', and is lost'}`)
})
