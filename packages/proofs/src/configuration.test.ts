/**
 * Guards against a configuration change that does not reach every VM in time or is lost, against a VM that goes back
 * to an older version, and against a restarted VM that serves with an outdated configuration. Faults: lost answers,
 * delays and outages of the platform, cut and frozen links, and racing operators.
 */
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { monotonicMs, sleepMs } from '@egretyoke/common'
import { createKey } from '@egretyoke/config'
import { connectPlatform } from '@egretyoke/fleet'
import { loopbackChannels } from '@egretyoke/protocol'
import { createCaller, putConfiguration, smallFleet, startFleet } from '@egretyoke/testbed'
import type { Fleet } from '@egretyoke/testbed'
import { eventually } from './local-fleet.js'

const maxPropagationMs = 5_000
const pollMs = 25
/** Longer than a VM needs to start, so that the test detects a VM that serves without contact to the store. */
const refusalObservationMs = 4_000

/** Returns the active configuration version of a VM; 0 when it has none or does not answer. */
const readVersion = async (fleet: Fleet, vm: string): Promise<number> => {
  try {
    const response = await fetch(`http://${fleet.healthAddress(vm)}/metrics`)
    return Number(/^egretyoke_config_version (\d+)/m.exec(await response.text())?.[1] ?? 0)
  } catch {
    return 0
  }
}

/** Polls the versions of all VMs until the signal aborts; resolves to each change back to an older version. */
const watchForReverts = async (fleet: Fleet, signal: AbortSignal): Promise<string[]> => {
  const reverts: string[] = []
  const watch = async (vm: string) => {
    for (let newest = 0; !signal.aborted; await sleepMs(pollMs)) {
      const version = await readVersion(fleet, vm)
      if (version !== 0 && version < newest) reverts.push(`${vm}: ${newest} to ${version}`)
      newest = Math.max(newest, version)
    }
  }
  await Promise.all(fleet.vmNames.map(watch))
  return reverts
}

const expectActive = async (t: ExecutionContext, fleet: Fleet, name: string, version: number) => {
  const startMs = monotonicMs()
  for (const vm of fleet.vmNames) {
    const isActive = async () => await readVersion(fleet, vm) >= version
    await eventually(`${name}: version ${version} on ${vm}`, isActive, maxPropagationMs)
  }
  t.log(`${name}: active everywhere after ${Math.round(monotonicMs() - startMs)} ms`)
}

const changeBurst = (fleet: Fleet, burst: number) =>
  fleet.applyConfiguration(draft => { draft.workspaces['yard-2'].burst = burst })

test('an accepted configuration is active on every VM within 5 s and never reverts', async t => {
  const fleet = await startFleet(smallFleet(3), { withoutStewards: true, links: { platform: true, peers: true } })
  const stop = new AbortController()
  const reverts = watchForReverts(fleet, stop.signal)
  const caller = createCaller(fleet.callerAddresses())
  const setPeerLinks = async (fault: { cut?: boolean, frozen?: boolean }) => {
    for (const vm of fleet.vmNames) await fleet.setLinkFault(`link-peer-${vm}`, fault)
  }
  try {
    await expectActive(t, fleet, 'no fault', await changeBurst(fleet, 201))

    await fleet.setPlatformFault({ loseSwapAnswers: 0.5 })
    await expectActive(t, fleet, 'platform answers lost', await changeBurst(fleet, 202))
    await fleet.setPlatformFault({ delayMs: 400 })
    await expectActive(t, fleet, 'slow platform', await changeBurst(fleet, 203))
    await fleet.setPlatformFault({})

    await fleet.setLinkFault('link-platform-vm-1', { frozen: true })
    await fleet.setLinkFault('link-platform-vm-2', { cut: true })
    await expectActive(t, fleet, 'two VMs cut off from the platform', await changeBurst(fleet, 204))
    await fleet.setLinkFault('link-platform-vm-1', {})
    await fleet.setLinkFault('link-platform-vm-2', {})
    await setPeerLinks({ cut: true })
    await expectActive(t, fleet, 'all VMs cut off from their peers', await changeBurst(fleet, 205))
    await setPeerLinks({})

    const platform = connectPlatform(fleet.platformAddress(), loopbackChannels)
    const base = fleet.configurationVersion()
    const racingChanges = [206, 207].map(burst => {
      const draft = structuredClone(fleet.configuration())
      draft.workspaces['yard-2'].burst = burst
      return putConfiguration(platform, draft, base)
    })
    const results = await Promise.allSettled(racingChanges)
    platform.close()
    t.is(results.filter(({ status }) => status === 'fulfilled').length, 1)
    await expectActive(t, fleet, 'one of two racing operators', base + 1)

    stop.abort()
    t.deepEqual(await reverts, [])
  } finally {
    stop.abort()
    await reverts
    caller.close()
    await fleet.close()
  }
})

test('a VM restarted in a platform outage gets the newest configuration from its peers, or serves nothing',
  async t => {
    const fleet = await startFleet(smallFleet(3), { withoutStewards: true, links: { platform: true, peers: true } })
    const stop = new AbortController()
    const reverts = watchForReverts(fleet, stop.signal)
    const caller = createCaller(fleet.callerAddresses())
    const { text: key, keyId, stored } = createKey('second')
    const read = (vm: number, usedKey: string) =>
      caller.execute(vm, { route: 'read', key: usedKey, statement: 'get berth', timeoutMs: 1_000 })
    try {
      await fleet.applyConfiguration(draft => { draft.workspaces['yard-1'].keys[keyId] = stored })
      await eventually('the key works', async () => (await read(0, key)).kind === 'done')
      const version = await fleet.applyConfiguration(draft => {
        draft.workspaces['yard-1'].keys[keyId].state = 'withdrawn'
      })
      await expectActive(t, fleet, 'withdrawn key', version)
      await fleet.setPlatformFault({ down: true })

      await fleet.restart('vm-1')
      await fleet.waitReady(['vm-1'])
      t.is(await readVersion(fleet, 'vm-1'), version)
      t.is((await read(0, fleet.keyOf('yard-1'))).kind, 'done')
      t.is((await read(0, key)).reason, 'keyRefused')

      for (const vm of fleet.vmNames) await fleet.setLinkFault(`link-peer-${vm}`, { cut: true })
      await fleet.restart('vm-2')
      for (const deadlineMs = monotonicMs() + refusalObservationMs; monotonicMs() < deadlineMs; await sleepMs(200)) {
        for (const usedKey of [key, fleet.keyOf('yard-1')]) {
          const { kind, reason } = await read(1, usedKey)
          t.true(kind === 'lost' || (kind === 'notRun' && reason === 'outOfContact'), `${kind} ${reason}`)
        }
      }
      for (const vm of fleet.vmNames) await fleet.setLinkFault(`link-peer-${vm}`, {})
      await fleet.setPlatformFault({})
      await fleet.waitReady()
      t.is(await readVersion(fleet, 'vm-2'), version)
      t.is((await read(1, key)).reason, 'keyRefused')
      stop.abort()
      t.deepEqual(await reverts, [])
    } finally {
      stop.abort()
      await reverts
      caller.close()
      await fleet.close()
    }
  })
