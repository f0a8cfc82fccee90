/**
 * Runs a gateway as a child process of the soak: start, signals, readiness checks, restart after exit, crash reports.
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { get } from 'node:http'
import { readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { exitCodes } from '@egretyoke/common'
import { settingsPathVariable } from '@egretyoke/platform/testing'

/** Identity, ports and upstream addresses of one gateway. Ports are on the loopback address. */
export type GatewayPlace = {
  name: string
  dataCentre: string
  regionByDataCentre: Readonly<Record<string, string>>
  callerPort: number
  readinessPort: number
  relayPort: number
  metricsPort: number
  storeAddress: string
  failoverAddress: string
}

/** Deadlines from the gateways' settings: for refusing a withdrawn key on every gateway, and for graceful shutdown. */
export const soakTimes = { keyWithdrawalMs: 5000, graceMs: 3000 } as const

/** A gateway process that is restarted whenever it exits, until `close` is called. */
export type GatewayProcess = {
  name: string
  callerPort: number
  signal: (signal: NodeJS.Signals) => void
  /** Whether the balancer routes new connections to it, according to the latest readiness checks. */
  isInRotation: () => boolean
  /** Rewrites the settings file with the same content. */
  touchSettings: () => void
  /** One entry for each exit that no SIGTERM or SIGKILL of the soak caused, with the tail of standard error. */
  crashes: string[]
  close: () => Promise<void>
}

const restartDelayMs = 200
const readinessCheckMs = 500
const missesUntilOut = 2
const keptErrorCharacters = 4000
const launcher = fileURLToPath(new URL('start-program.js', import.meta.url))

const settingsText = (place: GatewayPlace) => JSON.stringify({
  nodeName: place.name,
  ip: '127.0.0.1',
  zone: place.dataCentre,
  zones: place.regionByDataCentre,
  listenAddrs: { front: `127.0.0.1:${place.callerPort}`, ready: `127.0.0.1:${place.readinessPort}` },
  internalPortRange: [place.relayPort, place.relayPort + 1],
  bounds: { revokeMs: soakTimes.keyWithdrawalMs, graceS: soakTimes.graceMs / 1000 },
  platform: { address: place.storeAddress },
  cloudApi: { address: place.failoverAddress }
}, undefined, 2)

const living = new Set<ChildProcess>()
const endingSignals = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const

let endsChildren = false

/** Kills the gateways when this process exits, also when a signal terminates it. */
const endWithThisProcess = () => {
  if (endsChildren) return
  endsChildren = true
  process.once('exit', () => { for (const child of living) child.kill('SIGKILL') })
  for (const signal of endingSignals) process.once(signal, () => process.exit(exitCodes.internal))
}

const hangupBit = 1n

/** Whether the process has a handler for SIGHUP, according to /proc; false when it has exited. */
export const catchesHangup = (pid: number | undefined): boolean => {
  try {
    const mask = /SigCgt:\s*([0-9a-f]+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? '0'
    return (BigInt(`0x${mask}`) & hangupBit) !== 0n
  } catch {
    // The process has exited.
    return false
  }
}

/** Writes the settings file of a gateway into the folder; returns its path. */
export const writeGatewaySettings = (place: GatewayPlace, folder: string): string => {
  const file = join(folder, `${place.name}.yaml`)
  writeFileSync(file, `${settingsText(place)}\n`)
  return file
}

/** Starts a gateway with a settings file in the folder; standard output is passed to the callback. */
export const startGatewayProcess = (place: GatewayPlace, folder: string, logTo: (line: Buffer) => void) => {
  const settingsFile = writeGatewaySettings(place, folder)
  const crashes: string[] = []
  let child: ChildProcess | undefined
  let restartTimer: NodeJS.Timeout | undefined
  let isClosed = false
  let misses = missesUntilOut
  let wasSignalled = false

  const start = () => {
    wasSignalled = false
    const started = spawn(process.execPath, [launcher, '--metrics-port', `${place.metricsPort}`], {
      env: { PATH: process.env.PATH, [settingsPathVariable]: settingsFile }, stdio: ['ignore', 'pipe', 'pipe']
    })
    let errors = ''
    child = started
    endWithThisProcess()
    living.add(started)
    started.stdout.on('data', logTo)
    started.stderr.on('data', (chunk: Buffer) => { errors = (errors + chunk).slice(-keptErrorCharacters) })
    started.on('exit', (code, signal) => {
      living.delete(started)
      misses = missesUntilOut
      if (!wasSignalled) crashes.push(`${place.name} exited unexpectedly (${code ?? signal}): ${errors}`)
      if (!isClosed) restartTimer = setTimeout(start, restartDelayMs)
    })
  }

  const check = setInterval(() => {
    const request = get({
      host: '127.0.0.1', port: place.readinessPort, path: '/api/readiness', timeout: readinessCheckMs
    }, response => {
      misses = response.statusCode === 200 ? 0 : misses + 1
      response.resume()
    })
    request.on('timeout', () => request.destroy())
    request.on('error', () => { misses++ })
  }, readinessCheckMs)

  const signal = (given: NodeJS.Signals) => {
    // Before its runtime has started, a process cannot handle signals: SIGHUP would kill it whatever the program does.
    if (given === 'SIGHUP' && !catchesHangup(child?.pid)) return
    wasSignalled ||= given === 'SIGTERM' || given === 'SIGKILL'
    child?.kill(given)
  }

  start()
  return {
    name: place.name,
    callerPort: place.callerPort,
    signal,
    isInRotation: () => misses < missesUntilOut,
    touchSettings: () => { writeGatewaySettings(place, folder) },
    crashes,
    close: async () => {
      isClosed = true
      clearInterval(check)
      clearTimeout(restartTimer)
      const ending = child
      if (ending === undefined || ending.exitCode !== null || ending.signalCode !== null) return
      await new Promise(resolve => {
        ending.once('exit', resolve)
        signal('SIGCONT')
        signal('SIGKILL')
      })
    }
  }
}
