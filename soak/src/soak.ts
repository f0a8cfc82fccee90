/**
 * One run of the soak: starts processes, stand-ins and callers, injects seeded faults, and checks the guarantees
 * against what callers and databases recorded.
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

/** Options of a run. `seconds` is the duration of fault injection; `callers` and `gateways` are counts. */
export type SoakPlan = { seed: number, seconds: number, gateways: number, callers: number }

/** Result of a run: breaches, and statements and transactions by outcome. */
export type SoakResult = {
  breaches: Breach[]
  done: number
  refused: number
  unknown: number
  /** Folder with the log of each gateway and of the faults; removed when there is no breach. */
  logs: string
}

/** Time after the last fault within which all callers have to be served again. */
const recoveryMs = 12_000
/** Time during which each caller has to complete at least one operation after the recovery. */
const lookMs = 2000

/** Checks that every caller is served again, except those of workspaces whose key was withdrawn. */
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

/** Starts callers for all workspaces and routes; returns each with its workspace. */
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

/** Writes each line with the elapsed time to faults.log in the folder, and passes it to the callback. */
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

/** Runs one soak with the given options. */
export const runSoakOnce = async (plan: SoakPlan, log: (line: string) => void): Promise<SoakResult> => {
  const record = createSoakRecord()
  const folder = mkdtempSync(join(tmpdir(), `egretyoke-soak-${plan.seed}-`))
  const world = await startSoakWorld({ gateways: plan.gateways, folder, record, random: createRandom(plan.seed + 1) })
  const { operators, gateways } = world
  const callers = startCallers(world, plan, record)
  const faultLog = createFaultLog(folder, log)
  // Faults have their own random source, so that a seed gives the same sequence whatever the timing of the processes.
  await playFaults({
    ...world, changeConfiguration: operators.change, withdrawKey: operators.withdrawKey, log: faultLog.note
  }, createRandom(plan.seed), plan.seconds * 1000)
  faultLog.note('all faults reverted')
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
