/**
 * What the scripts share: the record, the project's program as separate processes with the command of the deploy file,
 * and callers over the wire protocol.
 */
import { spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { get } from 'node:http'
import { connect, createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('../..', import.meta.url))
const startTimeoutMs = 20_000
const closeTimeoutMs = 8000
/** Below the ephemeral port range, so that no outgoing connection takes the port of a process that restarts. */
const ports = { from: 12_000, count: 20_000 }

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

/** False with TROUBLE=0: the run is then made without the disruption. */
export const hasTrouble = process.env.TROUBLE !== '0'

/** Opens record.txt in the folder. */
export const openRecord = folder => {
  const stream = createWriteStream(join(folder, 'record.txt'))
  const startedAtMs = performance.now()
  const record = (who, what) => {
    stream.write(`${((performance.now() - startedAtMs) / 1000).toFixed(3).padStart(8)} ${who}: ${what}\n`)
  }
  return { record, close: () => new Promise(resolve => stream.end(resolve)) }
}

const isFree = port => new Promise(resolve => {
  const server = createServer()
  server.once('error', () => resolve(false))
  server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
})

const freePorts = async count => {
  const found = new Set()
  while (found.size < count) {
    const port = ports.from + Math.floor(Math.random() * ports.count)
    if (await isFree(port)) found.add(port)
  }
  return [...found]
}

/** The words of the `run` command of the deploy file, with a free metrics port in place of the fixed one. */
const commandOf = metricsPort => {
  const deploy = readFileSync(join(root, 'deploy/system.toml'), 'utf8')
  const [, run] = /^run = "(.*)"$/m.exec(deploy)
  return run.replace(/--metrics-port \d+/, `--metrics-port ${metricsPort}`).split(' ')
}

/** Bounds of the sheets of both small deployments. */
export const bounds = {
  seedLagS: 3,
  addrReuseS: 2,
  stableWindowMs: 5000,
  ackTimeoutMs: 6000,
  catchUpS: 4,
  drainMs: 7000,
  graceS: 6,
  lossSlackMs: 200,
  configApplyMs: 4000,
  rollbackSlackMs: 250,
  maxSkewMs: 15000,
  failClosed: true,
  revokeMs: 5000,
  quotaWindowS: 5,
  quotaOverage: 0.1,
  quotaSlack: 20,
  evacuateMs: 5000,
  recoveryS: 12,
  requireFencing: false,
  thawMs: 300
}

const isReady = port => new Promise(resolve => {
  const request = get({ host: '127.0.0.1', port, path: '/api/readiness', timeout: 500 }, response => {
    response.resume()
    resolve(response.statusCode === 200)
  })
  request.on('timeout', () => request.destroy())
  request.on('error', () => resolve(false))
})

/**
 * Starts one process of the program; resolves when it is ready. `launcher` are words before the command, and `settings`
 * further fields of its settings file.
 */
export const startGateway = async ({
  name, zone, regions, storeAddress, folder, record, settings = {}, launcher = []
}) => {
  const [front, ready, relay, metrics] = await freePorts(4)
  const file = join(folder, `${name}.yaml`)
  const log = createWriteStream(join(folder, `${name}.log`), { flags: 'a' })
  writeFileSync(file, JSON.stringify({
    nodeName: name,
    role: 'entry',
    nodeClass: 'edge',
    serves: ['edge'],
    ip: '127.0.0.1',
    zone,
    region: regions[zone],
    zones: regions,
    listenAddrs: { front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}` },
    internalPortRange: [relay, relay],
    bootstrap: true,
    limits: { cpuShare: 0.675, cpuCores: 1, memoryMb: 350, maxFds: 4200, linkMbps: 1000, diskMb: 0 },
    bounds,
    platform: { address: storeAddress, form: 'kv', writesPerS: 400, readsPerS: 2000, historyS: 20, ttlMinMs: 1000 },
    cloudApi: { address: storeAddress, ratePerS: 50, duties: ['failover'], dutyPerS: 50 },
    ...settings
  }))
  let child
  let end

  const start = async () => {
    const [program, ...words] = [...launcher, ...commandOf(metrics)]
    child = spawn(program, words, {
      cwd: root, env: { PATH: process.env.PATH, EGRETYOKE_BOOT: file }, stdio: ['ignore', 'pipe', 'pipe']
    })
    const started = child
    let errors = ''
    started.stdout.on('data', chunk => log.write(chunk))
    started.stderr.on('data', chunk => { errors = `${errors}${chunk}`.slice(-2000) })
    started.ended = new Promise(resolve => started.on('exit', (code, signal) => {
      end = { code, signal, errors }
      record(name, `process ended with ${signal ?? code} ${errors.trim()}`)
      resolve()
    }))
    end = undefined
    const deadlineMs = performance.now() + startTimeoutMs
    while (!await isReady(ready)) {
      if (performance.now() > deadlineMs || end !== undefined) throw new Error(`${name} does not get ready: ${errors}`)
      await sleep(50)
    }
    record(name, `process is ready for callers at port ${front}`)
  }

  await start()
  return {
    name,
    front,
    ready,
    pid: () => child.pid,
    isReady: () => isReady(ready),
    end: () => end,
    signal: signal => {
      record(name, `gets ${signal}`)
      child.kill(signal)
    },
    /** Waits for the end of a process that was killed, and starts the next one. */
    startAgain: async () => {
      await child.ended
      await start()
    },
    /** Stops the process as the platform does, and starts it again. */
    restart: async () => {
      record(name, 'gets SIGTERM')
      child.kill('SIGTERM')
      const killTimer = setTimeout(() => child.kill('SIGKILL'), bounds.graceS * 1000)
      await child.ended
      clearTimeout(killTimer)
      await start()
    },
    close: async () => {
      if (end !== undefined) return
      child.kill('SIGCONT')
      child.kill('SIGKILL')
      await Promise.race([child.ended, sleep(closeTimeoutMs)])
    }
  }
}

/** Connects a caller; resolves with its session, or with the refusal in `error`. */
export const openCaller = (port, database, key, timeoutMs = 3000) => new Promise(resolve => {
  const socket = connect({ host: '127.0.0.1', port, noDelay: true })
  let received = ''
  let rows = []
  let answered = resolve
  let result = {}

  const settle = answer => {
    const settled = answered
    answered = () => {}
    settled(answer)
  }
  const readLine = line => {
    const [word, first = '', ...rest] = line.split(' ')
    if (word === 'ROW') rows.push(line.slice('ROW '.length))
    else if (word === 'COMPLETE') result = { signature: first }
    else if (word === 'ERROR') result = { error: first, message: rest.join(' ') }
    else if (word === 'READY') {
      const answer = { ...result, rows, state: first }
      result = {}
      rows = []
      settle(isStarted ? answer : session)
      isStarted = true
    }
  }
  let isStarted = false
  socket.on('data', chunk => {
    received += chunk
    const lines = received.split('\r\n')
    received = lines.pop()
    for (const line of lines) readLine(line)
  })
  socket.on('error', () => {})
  socket.on('close', () => settle({ error: result.error ?? 'CLOSED', message: result.message ?? 'connection ended' }))
  const query = async (requestId, text) => {
    if (socket.destroyed) return { error: 'CLOSED', message: 'connection had ended' }
    const answer = new Promise(resolve => { answered = resolve })
    socket.write(`QUERY ${requestId} ${text}\r\n`)
    return await answer
  }
  const session = { query, isOpen: () => !socket.destroyed, close: () => socket.destroy() }
  const timer = setTimeout(() => {
    if (!isStarted) socket.destroy()
  }, timeoutMs)
  timer.unref()
  socket.write(`START ${database}${key === undefined ? '' : ` ${key}`}\r\n`)
})

/** Runs a case: exits with 1 if it returns a breach, with 0 if the rule held, with 2 if it could not run. */
export const runCase = async (folder, play) => {
  const { record, close } = openRecord(folder)
  const temporary = mkdtempSync(join(tmpdir(), 'egretyoke-review-'))
  const cleanups = []
  let code = 2
  try {
    record('case', hasTrouble ? 'with the disruption' : 'without the disruption (TROUBLE=0)')
    const breaches = await play({ record, folder: temporary, onEnd: cleanup => cleanups.unshift(cleanup) })
    for (const breach of breaches) record('breach', breach)
    record('case', breaches.length > 0 ? `the rule was broken ${breaches.length} times` : 'the rule held')
    code = breaches.length > 0 ? 1 : 0
  } catch (thrown) {
    record('case', `could not run: ${thrown.stack}`)
    console.error(thrown)
  }
  for (const cleanup of cleanups) await cleanup()
  if (process.env.KEEP_LOGS === undefined) rmSync(temporary, { recursive: true, force: true })
  else console.log(temporary)
  await close()
  process.exit(code)
}
