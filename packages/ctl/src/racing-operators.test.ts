/**
 * Operators who change the configuration concurrently, while the platform loses replies.
 */
import test from 'ava'
import { Err, sleepMs, typedError } from '@egretyoke/common'
import type { DocumentTexts } from '@egretyoke/config'
import { documentHash, storeKeys } from '@egretyoke/config'
import {
  applyDocuments, deleteUnusedDocuments, createChangeId, readConfiguration, readHead, settleChange
} from '@egretyoke/fleet'
import type { ApplyOutcome, Platform } from '@egretyoke/fleet'
import { startTestPlatform } from './test-platform.js'

const times = { callTimeoutMs: 50, waitMs: 30_000 }
/** Time-out of calls whose replies the test needs; on a busy machine some take longer than `callTimeoutMs`. */
const neededCallTimeoutMs = 10_000
const operators = ['ana', 'berta', 'carla', 'dora']
const changesPerOperator = 12

const textsWithRate = (ratePerSec: number): DocumentTexts => ({
  profiles: { file: 'profiles', text: '{ "profiles": {} }' },
  workspaces: {
    file: 'workspaces',
    text: JSON.stringify({ workspaces: { yard: { ratePerSec, burst: 1, keys: {}, routes: {} } } })
  },
  groups: { file: 'groups', text: '{ "groups": {} }' },
  'data-centres': { file: 'data-centres', text: '{ "dataCentres": {} }' }
})

type Attempt = { changeId: string, baseVersion: number, outcome: ApplyOutcome }

const applyChanges = async (platform: Platform, operatorIndex: number): Promise<Attempt[]> => {
  const attempts: Attempt[] = []
  let accepted = 0
  while (accepted < changesPerOperator) {
    const baseVersion = (await readHead(platform, neededCallTimeoutMs)).unwrap().head.version
    const changeId = createChangeId(baseVersion)
    // Rates repeat, so that changes return to documents that were superseded earlier.
    const documents = textsWithRate(1 + (accepted * operators.length + operatorIndex) % 20)
    const outcome = await applyDocuments(platform, { baseVersion, documents, changeId }, times)
    attempts.push({ changeId, baseVersion, outcome })
    if (outcome.kind === 'accepted') accepted++
  }
  return attempts
}

for (const seed of [1, 2, 3]) {
  test(`no accepted change of concurrent operators is lost when replies are lost, seed ${seed}`, async t => {
    const standin = await startTestPlatform(seed)
    t.teardown(standin.close)
    const { platform } = standin
    await standin.setFault({ loseSwapAnswers: 0.3 })
    const seen: number[] = []
    const stopReading = new AbortController()
    const reader = (async () => {
      while (!stopReading.signal.aborted) {
        const read = await readConfiguration(platform, neededCallTimeoutMs)
        if (read.ok) seen.push(read.val.version)
        else t.is(read.val.reason, 'noConfiguration')
        await sleepMs(5)
      }
    })()
    const attempts = (await Promise.all(operators.map((_name, index) => applyChanges(platform, index)))).flat()
    stopReading.abort()
    await reader

    const changed = attempts.flatMap(({ outcome }) =>
      outcome.kind === 'accepted' && outcome.changed ? [outcome.version] : [])
    const versions = changed.toSorted((left, right) => left - right)
    t.deepEqual(versions, versions.map((_version, index) => index + 1), 'each version comes from one accepted change')
    const { head } = (await readHead(platform, neededCallTimeoutMs)).unwrap()
    t.is(head.version, versions.length)
    t.deepEqual(seen, seen.toSorted((left, right) => left - right), 'a reader sees versions only increase')
    t.true(attempts.some(({ outcome }) => outcome.kind === 'conflict'))
    for (const { outcome, changeId, baseVersion } of attempts) {
      t.true(['accepted', 'conflict'].includes(outcome.kind), outcome.kind)
      if (outcome.kind !== 'conflict' || head.version - baseVersion > 60) continue
      t.is((await settleChange(platform, changeId)).kind, 'notAccepted')
    }
    for (const hash of Object.values(head.documents)) {
      const entry = (await platform.get(storeKeys.document(hash), neededCallTimeoutMs)).unwrap()
      t.is(documentHash(entry!.value.toString()), hash)
    }
  })
}

/**
 * A platform on which swaps of the head take effect but their replies are lost, until `answers` is set. No other reply
 * is late, however busy the machine is.
 */
const withLostHeadReplies = (platform: Platform) => {
  const state = { answers: false, lost: 0 }
  const compareAndSwap: Platform['compareAndSwap'] = async swap => {
    const outcome = await platform.compareAndSwap(swap, neededCallTimeoutMs)
    if (state.answers || swap.key !== storeKeys.head) return outcome
    state.lost++
    return Err(typedError('noAnswer', 'lost'))
  }
  const get: Platform['get'] = async (key, timeoutMs) => {
    if (state.answers || state.lost === 0) return platform.get(key, neededCallTimeoutMs)
    await sleepMs(timeoutMs)
    return Err(typedError('noAnswer', 'lost'))
  }
  return { state, platform: { ...platform, compareAndSwap, get } }
}

const waitForVersion = async (platform: Platform, version: number) => {
  while ((await readHead(platform, neededCallTimeoutMs)).unwrap().head.version < version) await sleepMs(5)
}

test('a change whose swap took effect without a reply is accepted although another change followed it', async t => {
  const standin = await startTestPlatform()
  t.teardown(standin.close)
  const { platform } = standin
  const losing = withLostHeadReplies(platform)
  const first = createChangeId(0)
  const lost = applyDocuments(losing.platform, { baseVersion: 0, documents: textsWithRate(1), changeId: first }, times)
  await waitForVersion(platform, 1)
  const second = createChangeId(1)
  const later = await applyDocuments(platform, { baseVersion: 1, documents: textsWithRate(2), changeId: second }, times)
  t.like(later, { kind: 'accepted', version: 2 })
  losing.state.answers = true
  t.like(await lost, { kind: 'accepted', version: 1 })
  t.deepEqual(await settleChange(platform, first), { kind: 'accepted', version: 1 })
})

test('a change is unsettled when the platform stops answering, and is settled later', async t => {
  const standin = await startTestPlatform()
  t.teardown(standin.close)
  const { platform } = standin
  const losing = withLostHeadReplies(platform)
  const changeId = createChangeId(0)
  const outcome = await applyDocuments(losing.platform, { baseVersion: 0, documents: textsWithRate(1), changeId },
    { ...times, waitMs: 4000 })
  t.like(outcome, { kind: 'unsettled', changeId })
  t.deepEqual(await settleChange(platform, changeId), { kind: 'accepted', version: 1 })
})

test('a change that times out before its swap is unavailable, not unsettled', async t => {
  const standin = await startTestPlatform()
  t.teardown(standin.close)
  const { platform } = standin
  const lastDocument = storeKeys.document(documentHash(textsWithRate(1)['data-centres'].text))
  const slow: Platform = {
    ...platform,
    compareAndSwap: async (swap, timeoutMs) => {
      t.not(swap.key, storeKeys.head)
      const outcome = await platform.compareAndSwap(swap, 1000)
      // Storing the last document uses up the remaining time.
      if (swap.key === lastDocument) await sleepMs(timeoutMs)
      return outcome
    }
  }
  const changeId = createChangeId(0)
  const outcome = await applyDocuments(slow, { baseVersion: 0, documents: textsWithRate(1), changeId },
    { callTimeoutMs: 5000, waitMs: 1000 })
  t.is(outcome.kind, 'unavailable')
  t.is((await readHead(platform, neededCallTimeoutMs)).unwrap().head.version, 0)
})

test('a change is not accepted when the platform is down from the start', async t => {
  const standin = await startTestPlatform()
  t.teardown(standin.close)
  await standin.setFault({ down: true })
  const changeId = createChangeId(0)
  const outcome = await applyDocuments(standin.platform, { baseVersion: 0, documents: textsWithRate(1), changeId },
    { callTimeoutMs: 50, waitMs: 200 })
  t.is(outcome.kind, 'unavailable')
  await standin.setFault({})
  t.deepEqual(await settleChange(standin.platform, changeId), { kind: 'open', headVersion: 0 })
})

test('a document that a change in progress uses again is not deleted', async t => {
  const standin = await startTestPlatform()
  t.teardown(standin.close)
  const { platform } = standin
  const applyRate = (through: Platform, ratePerSec: number, baseVersion: number) => applyDocuments(through,
    { baseVersion, documents: textsWithRate(ratePerSec), changeId: createChangeId(baseVersion) }, times)
  for (let version = 0; version < 12; version++) await applyRate(platform, version + 1, version)

  // The next change uses the documents of version 1 again, which are due for deletion.
  const reused = documentHash(textsWithRate(1).workspaces.text)
  const stored = (await readHead(platform, neededCallTimeoutMs)).unwrap()
  const losing: Platform = {
    ...platform,
    compareAndSwap: async (swap, timeoutMs) => {
      if (swap.key !== storeKeys.head) return platform.compareAndSwap(swap, timeoutMs)
      t.deepEqual(
        await deleteUnusedDocuments(platform, [reused], stored, 1000), [], 'concurrent collection deletes nothing')
      return platform.compareAndSwap(swap, timeoutMs)
    }
  }
  t.like(await applyRate(losing, 1, 12), { kind: 'accepted', version: 13 })
  t.is((await readConfiguration(platform, neededCallTimeoutMs)).unwrap().workspaces.yard.ratePerSec, 1)
})

test('the number of stored documents stays bounded over many changes', async t => {
  const standin = await startTestPlatform()
  t.teardown(standin.close)
  const { platform } = standin
  for (let version = 0; version < 60; version++) {
    const changeId = createChangeId(version)
    await applyDocuments(platform, { baseVersion: version, documents: textsWithRate(version + 1), changeId }, times)
  }
  const { entries } = (await platform.range('egretyoke/documents/', 0, 1000)).unwrap()
  t.true(entries.filter(entry => !entry.deleted).length < 20)
})
