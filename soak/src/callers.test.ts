/**
 * Crowds of callers that nobody controls, before one gateway process with lowered limits. Whatever they send, or do not
 * send or read, the process lives, its memory and descriptors stay under a bound, and an ordinary caller is answered.
 */
import { sleepMs } from '@egretyoke/common'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { startCrowd } from './caller-crowd.js'
import type { CallerCrowd } from './caller-crowd.js'
import { openDescriptors, readMetric, residentBytes } from './process-usage.js'
import { sessionDatabase, sessionWorkspaces, startSessionEnvironment } from './session-environment.js'
import type { SessionEnvironment } from './session-environment.js'
import { keyOf } from './soak-environment.js'

const mebibyte = 1024 * 1024
const limits = {
  maxSessions: 120,
  maxSessionsPerWorkspace: 80,
  maxConnectionsBeforeStart: 20,
  startTimeoutMs: 1500,
  stallTimeoutMs: 2500,
  maxHeldBytes: 16 * mebibyte
}
/** Memory that a process may take beyond its bytes held: garbage not yet collected, and buffers of the runtime. */
const maxRiseBytes = 64 * mebibyte
/** Descriptors for other purposes than callers that may be opened during a test. */
const otherDescriptors = 30
/** Long enough for each time limit above on a busy machine; checks end earlier when they are met. */
const maxWaitMs = 20_000
const pollMs = 50

const [crowdWorkspace, ordinaryWorkspace] = sessionWorkspaces
const startLine = `START ${sessionDatabase} ${keyOf(crowdWorkspace)}\r\n`
/** A megabyte of a line that is not over the limit. */
const halfLine = 'QUERY h WRITE 1a4 '.padEnd(1_000_000, 'x')

let environment: SessionEnvironment
const gateway = () => environment.gateways[0]
test.before(async () => { environment = await startSessionEnvironment({ callers: limits }) })
test.after.always(async () => { await environment.close() })

const pidOf = (t: ExecutionContext) => {
  const pid = gateway().pid()
  if (pid === undefined) t.fail('the process has ended')
  return pid ?? 0
}

const waitUntil = async (isMet: () => boolean | Promise<boolean>): Promise<boolean> => {
  const deadlineMs = performance.now() + maxWaitMs
  while (performance.now() < deadlineMs) {
    if (await isMet()) return true
    await sleepMs(pollMs)
  }
  return await isMet()
}

const isOrdinaryCallerServed = async () => {
  const caller = await environment.openCaller(0, ordinaryWorkspace).catch(() => undefined)
  const reply = await caller?.send('QUERY ordinary READ 1a4')
  caller?.close()
  return reply?.error === ''
}

/** Runs a crowd, and checks what holds for each: process, memory, and an ordinary caller during and after it. */
const runCrowd = async (t: ExecutionContext, start: (port: number) => Promise<CallerCrowd>, check: {
  during?: (crowd: CallerCrowd) => Promise<void>
} = {}) => {
  const pid = pidOf(t)
  const beforeBytes = residentBytes(pid)
  let highestBytes = beforeBytes
  const sampling = setInterval(() => {
    if (gateway().pid() === pid) highestBytes = Math.max(highestBytes, residentBytes(pid))
  }, pollMs)
  const crowd = await start(gateway().callerPort)
  try {
    await sleepMs(1000)
    await check.during?.(crowd)
    t.true(await waitUntil(isOrdinaryCallerServed), 'an ordinary caller is served beside the crowd')
  } finally {
    clearInterval(sampling)
    crowd.close()
  }
  t.deepEqual(gateway().crashes, [])
  t.is(gateway().pid(), pid)
  const riseMb = Math.round((highestBytes - beforeBytes) / mebibyte)
  t.true(highestBytes - beforeBytes < maxRiseBytes, `memory rose by ${riseMb} MiB`)
  t.true(await waitUntil(isOrdinaryCallerServed), 'an ordinary caller is served after the crowd')
}

/** Checks that the process has closed connections, so that at most some remain. */
const checkDescriptors = async (t: ExecutionContext, baseCount: number, maxConnections: number) => {
  const maxCount = baseCount + maxConnections + otherDescriptors
  const isBounded = await waitUntil(() => openDescriptors(pidOf(t)) <= maxCount)
  t.true(isBounded, `${openDescriptors(pidOf(t))} descriptors, at most ${maxCount}`)
}

// Guards against callers without a key that take all sessions of a VM by only connecting.
test.serial('connections that never send a byte are few, and end', async t => {
  const baseCount = openDescriptors(pidOf(t))
  await runCrowd(t, port => startCrowd(port, 300), {
    during: async crowd => {
      await checkDescriptors(t, baseCount, limits.maxConnectionsBeforeStart)
      crowd.read()
      t.true(await waitUntil(() => crowd.openCount() === 0), `${crowd.openCount()} open`)
    }
  })
})

// Guards against memory taken without a key.
test.serial('a START without an end takes little memory', async t => {
  await runCrowd(t, port => startCrowd(port, 150, `START ${'x'.repeat(1_000_000)}`))
})

// Guards against connections that evade a limit of silence by sending a byte now and then.
test.serial('a START that arrives byte by byte without an end is cut off', async t => {
  const baseCount = openDescriptors(pidOf(t))
  await runCrowd(t, port => startCrowd(port, 60), {
    during: async crowd => {
      const dripping = setInterval(() => { for (const socket of crowd.sockets) socket.write('x') }, pollMs)
      crowd.read()
      t.true(await waitUntil(() => crowd.openCount() === 0), `${crowd.openCount()} open`)
      clearInterval(dripping)
      await checkDescriptors(t, baseCount, 0)
    }
  })
})

// Guards against memory taken by half messages, which may each have the size of the longest message.
test.serial('half lines of many sessions take bounded memory, and end', async t => {
  const baseCount = openDescriptors(pidOf(t))
  await runCrowd(t, port => startCrowd(port, 75, startLine + halfLine), {
    during: async crowd => {
      await checkDescriptors(t, baseCount, 0)
      crowd.read()
      t.true(await waitUntil(() => crowd.openCount() === 0), `${crowd.openCount()} open`)
    }
  })
})

// Guards against the memory of an object for each piece of a message.
test.serial('a message in pieces of one byte takes the memory of its bytes', async t => {
  const pieceCount = 10_000
  await runCrowd(t, port => startCrowd(port, 10, `${startLine}QUERY s SET v `), {
    during: async crowd => {
      for (let piece = 0; piece < pieceCount; piece++) {
        for (const socket of crowd.sockets) socket.write('x')
        if (piece % 4 === 0) await new Promise(resolve => setImmediate(resolve))
      }
    }
  })
})

// Guards against memory taken by requests that wait for the answers to earlier ones.
test.serial('long requests sent ahead take bounded memory', async t => {
  const lines = Array.from({ length: 50 }, (_, index) => `QUERY a${index} WRITE 1a4 `.padEnd(900_000, 'x') + '\r\n')
  await runCrowd(t, port => startCrowd(port, 6, startLine + lines.join('')))
})

// Guards against memory taken by answers that nobody reads.
test.serial('answers that are not read take bounded memory, and end their connections', async t => {
  const baseCount = openDescriptors(pidOf(t))
  const lines = Array.from({ length: 20 }, (_, index) => `QUERY ${'r'.repeat(400_000)}${index} READ 1a4\r\n`)
  await runCrowd(t, port => startCrowd(port, 20, startLine + lines.join('')), {
    during: async () => { await checkDescriptors(t, baseCount, 0) }
  })
})

// Guards against refusing a caller that only sends faster than its statements run.
test.serial('short requests sent ahead are all answered', async t => {
  const count = 500
  const lines = Array.from({ length: count }, (_, index) => `QUERY p${index} READ 1a4\r\n`)
  await runCrowd(t, port => startCrowd(port, 1, startLine + lines.join('')), {
    during: async crowd => {
      const [socket] = crowd.sockets
      let text = ''
      socket.on('data', chunk => { text += chunk })
      crowd.read()
      const countAnswers = () => text.split('COMPLETE').length - 1
      t.true(await waitUntil(() => countAnswers() === count), `${countAnswers()} answers`)
      t.false(text.includes('ERROR'))
    }
  })
})

// Guards against one workspace that takes the sessions of all others.
test.serial('the sessions of one workspace are limited', async t => {
  const baseCount = openDescriptors(pidOf(t))
  await runCrowd(t, port => startCrowd(port, 200, startLine), {
    during: async () => { await checkDescriptors(t, baseCount, limits.maxSessionsPerWorkspace) }
  })
})

// Guards against an error of a connection that is being refused or closed.
test.serial('connecting and closing in a loop ends nothing', async t => {
  await runCrowd(t, async port => {
    const crowds: CallerCrowd[] = []
    for (let round = 0; round < 20; round++) {
      const crowd = await startCrowd(port, 20, round % 2 === 0 ? startLine : `${startLine}QUERY 1 READ 1a4\r\n`)
      crowd.close()
      crowds.push(crowd)
    }
    return crowds[0]
  })
})

// Guards against the refusal of what is within the limits while the limits are low.
test.serial('messages of the longest size are served one after another', async t => {
  const caller = await environment.openCaller(0, ordinaryWorkspace)
  for (let index = 0; index < 20; index++) {
    const reply = await caller.send(`QUERY long${index} WRITE 1a4 `.padEnd(mebibyte, 'x'))
    t.is(reply?.error, '')
  }
  caller.close()
})

// Guards against bytes that are counted and never released, or released twice.
test.serial('nothing is held when all connections are gone', async t => {
  const readHeld = async () => await readMetric(gateway().metricsPort, 'egretyoke_held_bytes')
  t.true((await readHeld()).size > 0, 'the gauge exists')
  const isZero = async () => [...(await readHeld()).values()].every(bytes => bytes === 0)
  t.true(await waitUntil(isZero), JSON.stringify([...await readHeld()]))
})
