/**
 * A primary crashes and another one is promoted. Seconds later the store comes back from a copy that was made before
 * the promotion, and then one process is stopped and started. It must not read at the former primary.
 */
import { fileURLToPath } from 'node:url'
import { configuration, keys, playDrill, startDeployment, waitFor } from '../standins-2/deployment.mjs'
import { hasTrouble, openCaller, runCase, sleep } from '../standins-2/system.mjs'

const readers = 8
const judgedMs = 8000
const pauseMs = 5

runCase(fileURLToPath(new URL('.', import.meta.url)), async ({ record, folder, onEnd }) => {
  const { store, databases, gateways: [restarted, other], writeEntries } =
    await startDeployment({ record, folder, onEnd, lagMs: 90, maxConnections: 56, slots: 4 })
  const [primary] = databases.databases
  const breaches = []
  let acknowledged = 0
  let isOver = false
  const counts = { writes: 0, refusedWrites: 0, reads: 0, refusedReads: 0 }

  const writer = await openCaller(other.front, 'slots', keys.alpha)
  const write = async number => {
    const answer = await writer.query(`w${number}`, `WRITE counter ${number}`)
    record('caller', `w${number} at ${other.name}: ${answer.error ?? 'acknowledged'} ${answer.message ?? ''}`)
    if (!answer.error) acknowledged = number
    return !answer.error
  }
  const keepWriting = async () => {
    for (let number = 100; !isOver; number++) {
      if (await write(number)) counts.writes++
      else counts.refusedWrites++
      await sleep(pauseMs)
    }
  }
  const keepReading = async reader => {
    const session = await openCaller(restarted.front, 'slots', keys.beta)
    for (let number = 1; !isOver && session.query; number++) {
      const expected = acknowledged
      const answer = await session.query(`r${reader}-${number}`, 'READ counter')
      const read = answer.error ?? answer.rows[0]
      record('caller', `r${reader}-${number} at ${restarted.name}: ${read}, ${expected} was acknowledged before`)
      if (answer.error) counts.refusedReads++
      else counts.reads++
      if (!answer.error && Number(answer.rows[0]) < expected) {
        breaches.push(`STALE: r${reader}-${number} on a primary route returned ${read}, ${expected} was acknowledged`)
      }
      await sleep(pauseMs)
    }
  }

  if (!await write(1)) throw new Error('the first write failed')
  const copy = store.copy()
  databases.crash(primary)
  await waitFor('another primary', () => databases.leader() !== primary, 8000)
  databases.restart(primary)
  await waitFor('a write at the new primary', () => write(2), 8000)

  if (hasTrouble) await playDrill({ store, writeEntries, record, copy, config: configuration(1) })
  await sleep(3000)
  await restarted.restart()
  await sleep(5000)
  const writing = keepWriting()
  await sleep(1000)
  if (counts.writes === 0) throw new Error('no write was acknowledged')
  const reading = Array.from({ length: readers }, (_, index) => keepReading(index + 1))
  await sleep(judgedMs)
  isOver = true
  await Promise.all([writing, ...reading])
  record('case', JSON.stringify(counts))
  if (counts.reads === 0) throw new Error('no read was answered')
  return breaches
})
