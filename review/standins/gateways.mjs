/**
 * The project's program as processes, with the command of the deploy file and settings of the bench's form.
 */
import { spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { get } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('../..', import.meta.url))
/** The `run` of deploy/system.toml. */
const command = ['--max-old-space-size=150', 'target/bin/egretyoke-platform.cjs', '--metrics-port', '9464']
const readinessMs = 200
export const frontPort = 8465

/** Bounds of modhafen. */
const bounds = {
  seedLagS: 3,
  addrReuseS: 2,
  stableWindowMs: 4000,
  ackTimeoutMs: 5000,
  catchUpS: 4,
  drainMs: 7000,
  graceS: 6,
  lossSlackMs: 200,
  configApplyMs: 3000,
  rollbackSlackMs: 250,
  maxSkewMs: 12000,
  failClosed: true,
  revokeMs: 5000,
  quotaWindowS: 5,
  quotaOverage: 0.1,
  quotaSlack: 20,
  coldOverage: 1.5,
  coldSlack: 5,
  evacuateMs: 5000,
  recoveryS: 12,
  requireFencing: false,
  thawMs: 300
}

const settingsOf = ({ name, host, zone }, { regions, storeAddress, failoverAddress }) => ({
  nodeName: name,
  role: 'entry',
  nodeClass: 'edge',
  serves: ['edge'],
  ip: host,
  zone,
  region: regions[zone],
  zones: regions,
  listenAddrs: { front: `${host}:${frontPort}`, ready: `${host}:8460`, control: `${host}:8462` },
  internalPortRange: [7560, 7575],
  seedNodes: [],
  bootstrap: true,
  lossCounted: false,
  limits: { cpuShare: 0.675, cpuCores: 1, memoryMb: 350, maxFds: 4200, linkMbps: 1000, diskMb: 0 },
  dataDir: null,
  discovery: 'platform',
  entry: 'vip',
  heartbeatMs: 1200,
  faultTolerance: { machines: 2, zones: 1, regions: 1 },
  bounds,
  platform: {
    address: storeAddress,
    form: 'kv',
    writesPerS: 400,
    readsPerS: 2000,
    historyS: 20,
    valueBytes: 1048576,
    ttlMinMs: 1000
  },
  cloudApi: { address: failoverAddress, ratePerS: 50, duties: ['failover'], dutyPerS: 50 }
})

const isReady = host => new Promise(resolve => {
  const request = get({ host, port: 8460, path: '/api/readiness', timeout: readinessMs }, response => {
    response.resume()
    resolve(response.statusCode === 200)
  })
  request.on('timeout', () => request.destroy())
  request.on('error', () => resolve(false))
})

/** Keeps the gateways of a run; their settings and logs are in a temporary folder. */
export const createGateways = record => {
  const folder = mkdtempSync(join(tmpdir(), 'egretyoke-review-'))
  const running = new Set()

  /** Starts a process; `options` has the regions by zone and the addresses of store and failover service. */
  const start = (machine, options) => {
    const file = join(folder, `${machine.name}.yaml`)
    writeFileSync(file, JSON.stringify(settingsOf(machine, options), undefined, 2))
    const child = spawn(process.execPath, command, {
      cwd: root, env: { PATH: process.env.PATH, EGRETYOKE_BOOT: file }, stdio: ['ignore', 'pipe', 'pipe']
    })
    const log = createWriteStream(join(folder, `${machine.name}.log`), { flags: 'a' })
    const lineListeners = []
    let rest = ''
    child.stdout.on('data', chunk => {
      log.write(chunk)
      const lines = (rest + chunk).split('\n')
      rest = lines.pop()
      for (const line of lines) for (const listener of lineListeners) listener(line)
    })
    child.stderr.on('data', chunk => log.write(chunk))
    running.add(child)
    child.on('exit', (code, signal) => {
      running.delete(child)
      record.write(`${machine.name} ended (${signal ?? code})`)
    })
    return {
      ...machine,
      front: `${machine.host}:${frontPort}`,
      signal: name => child.kill(name),
      onLine: listener => lineListeners.push(listener),
      isReady: () => isReady(machine.host)
    }
  }

  return {
    folder,
    start,
    /** Ends all processes that were started here. */
    close: async () => {
      const exits = [...running].map(child => new Promise(resolve => child.once('exit', resolve)))
      for (const child of running) {
        child.kill('SIGCONT')
        child.kill('SIGKILL')
      }
      await Promise.all(exits)
      if (process.env.KEEP_LOGS === undefined) rmSync(folder, { recursive: true, force: true })
      else console.log(`logs: ${folder}`)
    }
  }
}

/** Waits until all gateways answer the readiness check. */
export const waitUntilReady = async (gateways, timeoutMs) => {
  const deadlineMs = performance.now() + timeoutMs
  while (performance.now() < deadlineMs) {
    const answers = await Promise.all(gateways.map(gateway => gateway.isReady()))
    if (!answers.includes(false)) return true
    await new Promise(resolve => setTimeout(resolve, readinessMs / 2))
  }
  return false
}
