/**
 * Runs an entry, a steward or a stand-in as a child process: start, announced addresses, signals, captured log.
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

const packagesDir = fileURLToPath(new URL('../..', import.meta.url))

/** Maximum length of a program's captured standard error, in characters; the oldest part is dropped. */
export const maxLogCharacters = 1024 * 1024

const announceTimeoutMs = 30_000

/** Path of each program; `listeners` maps its settings for listening addresses to their names in the announcement. */
const programs = {
  platform: { path: 'standins/bin/standin-platform.js', listeners: { listen: 'platform' } },
  database: { path: 'standins/bin/standin-database.js', listeners: { listen: 'database' } },
  link: { path: 'standins/bin/standin-link.js', listeners: { listen: 'link', control: 'control' } },
  entry: {
    path: 'entry/bin/egretyoke-entry.js',
    listeners: { callerListen: 'callers', peerListen: 'peers', healthListen: 'health' }
  },
  steward: { path: 'steward/bin/egretyoke-steward.js', listeners: { healthListen: 'health' } }
} as const

export type ProgramKind = keyof typeof programs

/** Settings folder and environment for starting programs. */
export type ProcessContext = {
  /** Folder for settings files. */
  folder: string
  /** Value of DEBUG in the programs' environment. */
  debug: string
}

/** A started program. All addresses are HOST:PORT. */
export type ProgramProcess = Awaited<ReturnType<typeof startProgram>>

const liveChildren = new Set<ChildProcess>()
const killChildren = () => {
  for (const child of liveChildren) child.kill('SIGKILL')
}
process.on('exit', killChildren)

const signalExitCodeBase = 128
/** Signals that by default terminate this process without running its exit handlers, with their numbers. */
const terminationSignals = { SIGINT: 2, SIGTERM: 15, SIGHUP: 1 } as const

/** Exits on these signals, so that the exit handler kills the children. */
const exitOnSignals = () => {
  for (const [signal, number] of Object.entries(terminationSignals)) {
    process.once(signal, () => process.exit(signalExitCodeBase + number))
  }
}
let hasSignalHandlers = false

const readAnnouncement = async (child: ChildProcess, name: string): Promise<Record<string, string>> => {
  const lines = createInterface({ input: child.stdout! })
  const cancellation = new AbortController()
  const timer = setTimeout(() => cancellation.abort(), announceTimeoutMs)
  try {
    const line = await Promise.race([
      once(lines, 'line', { signal: cancellation.signal }).then(([text]) => String(text)),
      once(child, 'exit', { signal: cancellation.signal })
        .then(([code]) => Promise.reject(new Error(`exit code ${code}`)))
    ])
    return JSON.parse(line).addresses
  } catch (thrown) {
    throw new Error(`${name} did not start: ${thrown}`)
  } finally {
    clearTimeout(timer)
    cancellation.abort()
  }
}

/** Starts a program and waits until it announces its addresses. Rejects when it exits before that, or on time-out. */
export const startProgram = async (
  context: ProcessContext,
  kind: ProgramKind,
  name: string,
  initialSettings: Record<string, unknown>
) => {
  const { path, listeners } = programs[kind]
  const ephemeralAddresses = Object.fromEntries(Object.keys(listeners).map(field => [field, '127.0.0.1:0']))
  let settings: Record<string, unknown> = { ...ephemeralAddresses, ...initialSettings }
  let addresses: Record<string, string> = {}
  let log = ''
  let child: ChildProcess | undefined

  const appendLog = (chunk: Buffer) => {
    log = (log + chunk.toString('utf8')).slice(-maxLogCharacters)
  }

  const start = async () => {
    if (!hasSignalHandlers) exitOnSignals()
    hasSignalHandlers = true
    const file = join(context.folder, `${kind}-${name}.json`)
    writeFileSync(file, JSON.stringify(settings))
    const env = { ...process.env, DEBUG: context.debug }
    const started = spawn(process.execPath, [join(packagesDir, path), '--settings', file],
      { env, stdio: ['ignore', 'pipe', 'pipe'] })
    child = started
    liveChildren.add(started)
    started.once('exit', () => liveChildren.delete(started))
    started.stderr!.on('data', appendLog)
    try {
      addresses = await readAnnouncement(started, name)
    } catch (thrown) {
      throw new Error(`${thrown instanceof Error ? thrown.message : thrown}\n${log.slice(-2_000)}`)
    }
    started.stdout!.resume()
    const assignedAddresses = Object.entries(listeners).map(([field, announced]) => [field, addresses[announced]])
    settings = { ...settings, ...Object.fromEntries(assignedAddresses) }
  }

  const isRunning = () => child !== undefined && child.exitCode === null && child.signalCode === null

  /** Sends a signal and waits for the exit; returns the exit code, or null when a signal terminated the program. */
  const stop = async (signal: NodeJS.Signals): Promise<number | null> => {
    if (!child || !isRunning()) return child?.exitCode ?? null
    const exited = once(child, 'exit')
    child.kill(signal)
    const [code] = await exited
    return code
  }

  const kill = () => stop('SIGKILL')

  const restart = async (change: Record<string, unknown> = {}) => {
    await kill()
    settings = { ...settings, ...change }
    await start()
  }

  await start()
  return {
    kind,
    name,
    pid: () => child?.pid,
    addresses: () => addresses,
    logs: () => log,
    isRunning,
    kill,
    terminate: () => stop('SIGTERM'),
    freeze: () => child?.kill('SIGSTOP'),
    thaw: () => child?.kill('SIGCONT'),
    restart
  }
}
