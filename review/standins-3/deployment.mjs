/**
 * A small deployment for the scripts of this review: the project's store stand-in, and gateways that are started with
 * the command of the deploy file. Each gateway has a loopback address of its own, as each machine has one on the
 * platform, so that all of them use the same ports.
 */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { get } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { startStoreStandin } from '../../platform/dist/testing/index.js'

const root = fileURLToPath(new URL('../..', import.meta.url))
const settingsVariable = 'EGRETYOKE_BOOT'
const restartDelayMs = 300

export const sleepMs = ms => new Promise(resolve => setTimeout(resolve, ms))

const liveChildren = new Set()
process.once('exit', () => { for (const child of liveChildren) child.kill('SIGKILL') })

/** Waits until the condition holds; false after the timeout. */
export const waitUntil = async (isMet, timeoutMs, pollMs = 50) => {
  const deadlineMs = performance.now() + timeoutMs
  while (!await isMet()) {
    if (performance.now() > deadlineMs) return false
    await sleepMs(pollMs)
  }
  return true
}

/** Program and arguments of the deploy file's role. */
const runCommand = () => {
  const [, command] = /^run = "(.*)"$/m.exec(readFileSync(join(root, 'deploy/system.toml'), 'utf8')) ?? []
  if (command === undefined) throw new Error('the deploy file has no run command')
  return command.split(' ')
}

const isPortFree = (host, port) => new Promise(resolve => {
  const server = createServer()
  server.once('error', () => resolve(false))
  server.listen(port, host, () => server.close(() => resolve(true)))
})

/** Ports of a machine; the metrics port is that of the deploy file. */
export const ports = { front: 8465, ready: 8460, relay: 7560, metrics: 9464 }

const random = (from, to) => from + Math.floor(Math.random() * (to - from))

/** A loopback address at which all ports of a machine are free. */
export const freeAddress = async () => {
  for (;;) {
    const host = `127.${random(2, 250)}.${random(1, 250)}.${random(2, 250)}`
    const isFree = await Promise.all(Object.values(ports).map(port => isPortFree(host, port)))
    if (isFree.every(Boolean)) return host
  }
}

/** Bounds of the sheets, for the deployments of 8 and 9 machines. */
const bounds = { stableWindowMs: 4000, drainMs: 7000, graceS: 6, configApplyMs: 3000, revokeMs: 5000, thawMs: 300 }
/** What each machine has by the sheets. */
const machineLimits = { cpuShare: 0.675, cpuCores: 1, memoryMb: 350, maxFds: 4200, linkMbps: 1000, diskMb: 0 }

const settingsOf = ({ name, ip, zone, zones, storeAddress, cloudAddress }) => JSON.stringify({
  nodeName: name,
  role: 'entry',
  nodeClass: 'edge',
  serves: ['edge'],
  ip,
  zone,
  region: zones[zone],
  zones,
  listenAddrs: { front: `${ip}:${ports.front}`, ready: `${ip}:${ports.ready}` },
  internalPortRange: [ports.relay, ports.relay + 15],
  limits: machineLimits,
  bounds,
  heartbeatMs: 1200,
  platform: { address: storeAddress, form: 'kv', writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576 },
  cloudApi: { address: cloudAddress, ratePerS: 50, duties: ['failover'], dutyPerS: 50 }
})

/** Status of a readiness check; undefined without an answer in time. */
const checkReadiness = (ip, timeout) => new Promise(resolve => {
  const request = get({ host: ip, port: ports.ready, path: '/api/readiness', timeout }, response => {
    response.resume()
    resolve(response.statusCode)
  })
  request.on('timeout', () => request.destroy())
  request.on('error', () => resolve(undefined))
})

const readinessTimeoutMs = 500

/**
 * Runs one gateway, and starts it again a moment after it has ended, as the platform does. `ends` lists how its
 * processes ended by themselves: not by a signal of the script.
 */
const runGateway = (options, folder, onLog) => {
  const file = join(folder, `${options.name}.yaml`)
  writeFileSync(file, settingsOf(options))
  const [program, ...words] = runCommand()
  let isStopped = false
  let isExpected = false

  const gateway = {
    ...options,
    file,
    child: undefined,
    ends: [],
    isReady: async () => await checkReadiness(options.ip, readinessTimeoutMs) === 200,
    isAnswering: async timeoutMs => await checkReadiness(options.ip, timeoutMs) !== undefined
  }
  const start = () => {
    if (isStopped) return
    const child = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: root, env: { PATH: process.env.PATH, [settingsVariable]: file }, stdio: ['ignore', 'pipe', 'pipe']
    })
    let errorText = ''
    liveChildren.add(child)
    isExpected = false
    gateway.child = child
    child.stdout.on('data', chunk => onLog?.(options.name, chunk.toString()))
    child.stderr.on('data', chunk => { errorText = (errorText + chunk).slice(0, 20_000) })
    child.on('exit', (code, signal) => {
      liveChildren.delete(child)
      gateway.child = undefined
      if (!isExpected) gateway.ends.push({ how: signal ?? `exit code ${code}`, errorText })
      setTimeout(start, restartDelayMs)
    })
  }
  gateway.pid = () => gateway.child?.pid
  gateway.signal = name => {
    isExpected ||= name === 'SIGKILL' || name === 'SIGTERM'
    gateway.child?.kill(name)
  }
  gateway.stop = async () => {
    isStopped = true
    gateway.signal('SIGCONT')
    gateway.signal('SIGKILL')
    await waitUntil(() => gateway.child === undefined, 5000)
  }
  start()
  return gateway
}

/** Resident memory of a process in bytes; 0 when it has ended. */
export const residentBytes = pid => {
  try {
    return Number(/VmRSS:\s*(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0) * 1024
  } catch {
    return 0
  }
}

/**
 * Starts a store with the configuration and the databases' entries, and the gateways of the given zones.
 * `onFailover` receives the id of a database that is to become the primary.
 */
export const startDeployment = async options => {
  const { configuration, entries, zoneOf, zones, onFailover, onLog, proxyStore, cloudAddress } = options
  const folder = mkdtempSync(join(tmpdir(), 'egretyoke-review-'))
  const store = await startStoreStandin({ pageSize: 500, ...onFailover && { onFailover } })
  store.write('op/config', configuration)
  for (const [id, entry] of Object.entries(entries)) store.write(`servers/${id}`, entry)
  const gateways = []
  for (const [index, zone] of zoneOf.entries()) {
    const ip = await freeAddress()
    const storeAddress = await proxyStore?.(store.address, index) ?? store.address
    gateways.push(runGateway({
      name: `edge-${zone}-${index + 1}`, ip, zone, zones, storeAddress, cloudAddress: cloudAddress ?? store.address
    }, folder, onLog))
  }
  const isUp = await waitUntil(async () =>
    (await Promise.all(gateways.map(gateway => gateway.isReady()))).every(Boolean), 20_000)
  return {
    store,
    gateways,
    isUp,
    close: async () => {
      await Promise.all(gateways.map(gateway => gateway.stop()))
      await store.close()
      rmSync(folder, { recursive: true })
    }
  }
}
