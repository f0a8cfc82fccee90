/**
 * A primary is to be replaced. The promoted database is dark for its first 3.5 s, so that a third one is promoted, and
 * the process that has just asked for this promotion is killed. The process that finishes the change must choose the
 * newest primary: no write may be acknowledged from the one before it.
 */
import { fileURLToPath } from 'node:url'
import { keys, startDeployment, waitFor } from '../standins-2/deployment.mjs'
import { hasTrouble, openCaller, runCase, sleep } from '../standins-2/system.mjs'

const darkMs = 3500
const restartDelayMs = 200
const writersOfGateway = 4
const pauseMs = 10
const judgedMs = 12_000

runCase(fileURLToPath(new URL('.', import.meta.url)), async ({ record, folder, onEnd }) => {
  let leads = 0
  const { store, databases, gateways } = await startDeployment({
    record,
    folder,
    onEnd,
    gateways: 3,
    lagMs: 20,
    onLead: database => {
      if (hasTrouble && ++leads === 1) databases.darken(database, darkMs)
    }
  })
  const [primary] = databases.databases
  const acknowledged = []
  let isOver = false

  const keepWriting = async (gateway, name, key) => {
    for (let number = 1; !isOver; number++) {
      const session = await openCaller(gateway.front, 'slots', key)
      for (; !isOver && session.query && session.isOpen(); number++) {
        const id = `${name}-${number}`
        const answer = await session.query(id, `WRITE item-${id} value-${id}`)
        record('caller', `${id} at ${gateway.name}: ${answer.error ?? `acknowledged ${answer.signature}`}`)
        if (!answer.error) acknowledged.push({ id, signature: answer.signature })
        await sleep(pauseMs)
      }
      await sleep(pauseMs)
    }
  }
  const writing = gateways.flatMap((gateway, index) => Array.from({ length: writersOfGateway }, (_, writer) =>
    keepWriting(gateway, `w${index}${writer}`, writer % 2 ? keys.alpha : keys.beta)))
  await sleep(2000)
  if (acknowledged.length === 0) throw new Error('no write was acknowledged')

  databases.drain(primary)
  await waitFor('another primary', () => databases.leader() !== primary, 8000)
  if (hasTrouble) {
    await waitFor('a second promotion', () => store.failovers.length > 1, 8000)
    const keeper = gateways.find(({ name }) => name === store.failovers.at(-1).holder)
    keeper.signal('SIGKILL')
    await sleep(restartDelayMs)
    keeper.startAgain()
  }
  await sleep(judgedMs)
  isOver = true
  await Promise.all(writing)

  const kept = new Set(databases.leader().log.map(({ item }) => item))
  const late = acknowledged.filter(({ signature }) => databases.lateCommits.has(signature))
  const lost = late.filter(({ id }) => !kept.has(`item-${id}`))
  record('case', `${acknowledged.length} writes acknowledged, ${late.length} of them at a former primary, ` +
    `${lost.length} of these missing in the log of the primary`)
  return late.map(({ id, signature }) =>
    `ONE: ${id} was committed at a former primary and acknowledged (${signature})` +
    `${kept.has(`item-${id}`) ? '' : ', and is lost'}`)
})
