/**
 * One run of the soak: a world of processes and stand-ins, callers, seeded faults, and the promises checked from what
 * callers and databases saw.
 */
import { createWriteStream, mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createRandom, sleepMs } from '@egretyoke/common'
import { soakTimes } from './gateway-process.js'
import { startSoakCaller } from './soak-callers.js'
import type { SoakCaller } from './soak-callers.js'
import { playFaults } from './soak-faults.js'
import { checkSoakRecord, createSoakRecord } from './soak-record.js'
import type { Breach, SoakRecord } from './soak-record.js'
import { keyOf, routes, startSoakWorld, workspaces } from './soak-world.js'
import type { SoakWorld } from './soak-world.js'

/** What a run is made of. */
export type SoakPlan = { seed: number, seconds: number, gateways: number, callers: number }

/** What a run showed. */
export type SoakResult = {
  breaches: Breach[]
  done: number
  refused: number
  unknown: number
  /** Folder with the log of each gateway and the faults; removed when nothing was broken. */
  logs: string
}

/** After the last fault everything has to be served again within this time, and for some time it is looked at. */
const recoveryMs = 12_000
const lookMs = 2000

/** Callers of withdrawn workspaces are not served any more; all others have to be. */
const checkRecovery = async (
  callers: ReadonlyMap<SoakCaller, string>, isWithdrawn: (workspace: string) => boolean, record: SoakRecord
) => {
  await sleepMs(recoveryMs)
  const before = new Map([...callers.keys()].map(caller => [caller, caller.counts().done]))
  await sleepMs(lookMs)
  for (const [caller, workspace] of callers) {
    const hasDone = caller.counts().done > (before.get(caller) ?? 0)
    if (!hasDone && !isWithdrawn(workspace)) record.breach('recovery', `a caller of ${workspace} is not served`)
  }
}

/** Callers of all workspaces and routes, each with the workspace that it belongs to. */
const startCallers = ({ gateways }: SoakWorld, { seed, callers }: SoakPlan, record: SoakRecord) => {
  const balancer = createRandom(seed + 1)
  const choosePort = () => {
    const ready = gateways.filter(gateway => gateway.isInRotation())
    return ready.length === 0 ? undefined : balancer.pick(ready).callerPort
  }
  return new Map(Array.from({ length: callers }, (_, index) => {
    const workspace = workspaces[index % workspaces.length]
    const caller = startSoakCaller({
      name: `c${index}`,
      route: routes[index % routes.length].database,
      workspace,
      key: keyOf(workspace),
      choosePort,
      random: createRandom(seed + 2 + index),
      record
    })
    return [caller, workspace] as const
  }))
}

/** Writes each fault with its time into a file of the folder, and passes it on. */
const createFaultLog = (folder: string, log: (line: string) => void) => {
  const startedMs = performance.now()
  const file = createWriteStream(join(folder, 'faults.log'))
  const note = (line: string) => {
    const text = `${Math.round(performance.now() - startedMs)} ms: ${line}`
    file.write(`${text}\n`)
    log(text)
  }
  return { note, close: () => file.end() }
}

/** Runs one soak. */
export const runSoakOnce = async (plan: SoakPlan, log: (line: string) => void): Promise<SoakResult> => {
  const record = createSoakRecord()
  const folder = mkdtempSync(join(tmpdir(), `egretyoke-soak-${plan.seed}-`))
  const world = await startSoakWorld({ gateways: plan.gateways, folder, record, random: createRandom(plan.seed + 1) })
  const { operators, gateways } = world
  const callers = startCallers(world, plan, record)
  const faultLog = createFaultLog(folder, log)
  // The faults have a source of their own, so that a seed brings the same ones whatever the processes do meanwhile.
  await playFaults({
    ...world, changeConfiguration: operators.change, withdrawKey: operators.withdrawKey, log: faultLog.note
  }, createRandom(plan.seed), plan.seconds * 1000)
  faultLog.note('all faults taken back')
  await checkRecovery(callers, operators.isWithdrawn, record)

  await Promise.all([...callers.keys()].map(caller => caller.stop()))
  await world.closeGateways()
  for (const { crashes } of gateways) for (const crash of crashes) record.breach('process', crash)
  checkSoakRecord(record, world.databases.finalLogs(), soakTimes.keyWithdrawalMs)
  await world.close()
  faultLog.close()
  if (record.breaches.length === 0) rmSync(folder, { recursive: true })
  const counts = [...callers.keys()].map(caller => caller.counts())
  const sum = (name: 'done' | 'refused' | 'unknown') => counts.reduce((total, count) => total + count[name], 0)
  return {
    breaches: record.breaches,
    done: sum('done'),
    refused: sum('refused'),
    unknown: sum('unknown'),
    logs: folder
  }
}
