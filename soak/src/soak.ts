/**
 * One run of the soak: starts processes, stand-ins and callers, injects seeded faults, and checks the guarantees
 * against what callers and databases recorded.
 */
import { createWriteStream, mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createRandom, sleepMs } from '@egretyoke/common'
import { gatewayDeadlines } from './gateway-process.js'
import { startSoakCaller } from './soak-callers.js'
import type { SoakCaller } from './soak-callers.js'
import { injectFaults } from './soak-faults.js'
import { restoreStore } from './soak-restores.js'
import { checkSoakRecord, createSoakRecord } from './soak-record.js'
import type { Breach, SoakRecord } from './soak-record.js'
import { keyOf, routes, startSoakEnvironment, workspaces } from './soak-environment.js'
import type { SoakEnvironment } from './soak-environment.js'

/** Options of a run. `seconds` is the duration of fault injection; `callers` and `gateways` are counts. */
export type SoakOptions = {
  seed: number
  seconds: number
  gateways: number
  callers: number
  /** Restores of the store from a copy, beside the faults. */
  restores?: number
}

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
const observationMs = 2000

/** Checks that every caller is served again, except those of workspaces whose key was withdrawn. */
const checkRecovery = async (
  callers: ReadonlyMap<SoakCaller, string>, isWithdrawn: (workspace: string) => boolean, record: SoakRecord
) => {
  await sleepMs(recoveryMs)
  const before = new Map([...callers.keys()].map(caller => [caller, caller.counts().done]))
  await sleepMs(observationMs)
  for (const [caller, workspace] of callers) {
    const hasProgress = caller.counts().done > (before.get(caller) ?? 0)
    if (!hasProgress && !isWithdrawn(workspace)) record.report('recovery', `a caller of ${workspace} is not served`)
  }
}

/** Starts callers for all workspaces and routes; returns each with its workspace. */
const startCallers = ({ gateways }: SoakEnvironment, { seed, callers }: SoakOptions, record: SoakRecord) => {
  const balancerRandom = createRandom(seed + 1)
  const choosePort = () => {
    const ready = gateways.filter(gateway => gateway.isInRotation())
    return ready.length === 0 ? undefined : balancerRandom.pick(ready).callerPort
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
  const writeLine = (line: string) => {
    const text = `${Math.round(performance.now() - startedMs)} ms: ${line}`
    file.write(`${text}\n`)
    log(text)
  }
  return { writeLine, close: () => file.end() }
}

/** Runs one soak with the given options. */
export const runSoak = async (options: SoakOptions, log: (line: string) => void): Promise<SoakResult> => {
  const record = createSoakRecord()
  const folder = mkdtempSync(join(tmpdir(), `egretyoke-soak-${options.seed}-`))
  const environment = await startSoakEnvironment({
    gateways: options.gateways, folder, record, random: createRandom(options.seed + 1)
  })
  const { operators, gateways } = environment
  const callers = startCallers(environment, options, record)
  const faultLog = createFaultLog(folder, log)
  // Faults have their own random source, so that a seed gives the same faults whatever the timing of the processes.
  const durationMs = options.seconds * 1000
  await Promise.all([
    injectFaults({
      ...environment,
      changeConfiguration: operators.changeConfiguration,
      withdrawKey: operators.withdrawKey,
      log: faultLog.writeLine
    }, createRandom(options.seed), durationMs),
    restoreStore(environment, createRandom(~options.seed), options.restores ?? 0, durationMs, faultLog.writeLine)
  ])
  faultLog.writeLine('all faults reverted')
  await checkRecovery(callers, operators.isWithdrawn, record)

  await Promise.all([...callers.keys()].map(caller => caller.stop()))
  await environment.closeGateways()
  for (const { crashes } of gateways) for (const crash of crashes) record.report('process', crash)
  checkSoakRecord(record, environment.databases.finalLogs(), gatewayDeadlines.keyWithdrawalMs)
  await environment.close()
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
