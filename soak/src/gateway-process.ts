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
export type GatewayOptions = {
  name: string
  dataCentre: string
  regionByDataCentre: Readonly<Record<string, string>>
  callerPort: number
  readinessPort: number
  relayPort: number
  metricsPort: number
  storeAddress: string
  failoverAddress: string
  /** Further fields of the settings file. */
  moreSettings?: Readonly<Record<string, unknown>>
}

/** Deadlines from the gateways' settings: for refusing a withdrawn key on every gateway, and for graceful shutdown. */
export const gatewayDeadlines = { keyWithdrawalMs: 5000, graceMs: 3000 } as const

/** A gateway process that is restarted whenever it exits, until `close` is called. */
export type GatewayProcess = {
  name: string
  callerPort: number
  metricsPort: number
  /** Id of the running process; undefined while it restarts. */
  pid: () => number | undefined
  signal: (signal: NodeJS.Signals) => void
  /** Whether the balancer routes new connections to it, according to the latest readiness checks. */
  isInRotation: () => boolean
  /** Rewrites the settings file with the same content. */
  rewriteSettings: () => void
  /** One entry for each exit that no SIGTERM or SIGKILL of the soak caused, with the tail of standard error. */
  crashes: string[]
  close: () => Promise<void>
}

const restartDelayMs = 200
const readinessCheckMs = 500
const unhealthyThreshold = 2
const maxErrorCharacters = 4000
const launcher = fileURLToPath(new URL('start-program.js', import.meta.url))

const settingsText = (options: GatewayOptions) => JSON.stringify({
  nodeName: options.name,
  ip: '127.0.0.1',
  zone: options.dataCentre,
  zones: options.regionByDataCentre,
  listenAddrs: { front: `127.0.0.1:${options.callerPort}`, ready: `127.0.0.1:${options.readinessPort}` },
  internalPortRange: [options.relayPort, options.relayPort + 1],
  bounds: { revokeMs: gatewayDeadlines.keyWithdrawalMs, graceS: gatewayDeadlines.graceMs / 1000 },
  platform: { address: options.storeAddress },
  cloudApi: { address: options.failoverAddress },
  ...options.moreSettings
}, undefined, 2)

const liveChildren = new Set<ChildProcess>()
const terminationSignals = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const

let hasExitHandlers = false

/** Kills the gateways when this process exits, also when a signal terminates it. */
const killChildrenOnExit = () => {
  if (hasExitHandlers) return
  hasExitHandlers = true
  process.once('exit', () => { for (const child of liveChildren) child.kill('SIGKILL') })
  for (const signal of terminationSignals) process.once(signal, () => process.exit(exitCodes.internal))
}

const sighupMask = 1n

/** Whether the process has a handler for SIGHUP, according to /proc; false when it has exited. */
export const handlesSighup = (pid: number | undefined): boolean => {
  try {
    const mask = /SigCgt:\s*([0-9a-f]+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? '0'
    return (BigInt(`0x${mask}`) & sighupMask) !== 0n
  } catch {
    // The process has exited.
    return false
  }
}

/** Writes the settings file of a gateway into the folder; returns its path. */
export const writeGatewaySettings = (options: GatewayOptions, folder: string): string => {
  const file = join(folder, `${options.name}.yaml`)
  writeFileSync(file, `${settingsText(options)}\n`)
  return file
}

/** Starts a gateway with a settings file in the folder; standard output is passed to the callback. */
export const startGatewayProcess = (options: GatewayOptions, folder: string, writeLog: (line: Buffer) => void) => {
  const settingsFile = writeGatewaySettings(options, folder)
  const crashes: string[] = []
  let child: ChildProcess | undefined
  let restartTimer: NodeJS.Timeout | undefined
  let isClosed = false
  let failedChecks = unhealthyThreshold
  let isExitExpected = false

  const start = () => {
    isExitExpected = false
    const started = spawn(process.execPath, [launcher, '--metrics-port', `${options.metricsPort}`], {
      env: { PATH: process.env.PATH, [settingsPathVariable]: settingsFile }, stdio: ['ignore', 'pipe', 'pipe']
    })
    let errorOutput = ''
    child = started
    killChildrenOnExit()
    liveChildren.add(started)
    started.stdout.on('data', writeLog)
    started.stderr.on('data', (chunk: Buffer) => { errorOutput = (errorOutput + chunk).slice(-maxErrorCharacters) })
    started.on('exit', (code, signal) => {
      liveChildren.delete(started)
      failedChecks = unhealthyThreshold
      if (!isExitExpected) crashes.push(`${options.name} exited unexpectedly (${code ?? signal}): ${errorOutput}`)
      if (!isClosed) restartTimer = setTimeout(start, restartDelayMs)
    })
  }

  const readinessTimer = setInterval(() => {
    const request = get({
      host: '127.0.0.1', port: options.readinessPort, path: '/api/readiness', timeout: readinessCheckMs
    }, response => {
      failedChecks = response.statusCode === 200 ? 0 : failedChecks + 1
      response.resume()
    })
    request.on('timeout', () => request.destroy())
    request.on('error', () => { failedChecks++ })
  }, readinessCheckMs)

  const signal = (name: NodeJS.Signals) => {
    // Before its runtime has started, a process cannot handle signals: SIGHUP would kill it whatever the program does.
    if (name === 'SIGHUP' && !handlesSighup(child?.pid)) return
    isExitExpected ||= name === 'SIGTERM' || name === 'SIGKILL'
    child?.kill(name)
  }

  start()
  return {
    name: options.name,
    callerPort: options.callerPort,
    metricsPort: options.metricsPort,
    pid: () => child?.exitCode === null && child.signalCode === null ? child.pid : undefined,
    signal,
    isInRotation: () => failedChecks < unhealthyThreshold,
    rewriteSettings: () => { writeGatewaySettings(options, folder) },
    crashes,
    close: async () => {
      isClosed = true
      clearInterval(readinessTimer)
      clearTimeout(restartTimer)
      const running = child
      if (running === undefined || running.exitCode !== null || running.signalCode !== null) return
      await new Promise(resolve => {
        running.once('exit', resolve)
        signal('SIGCONT')
        signal('SIGKILL')
      })
    }
  }
}
