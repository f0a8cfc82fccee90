/**
 * Runs the program in this process for some statements, before stand-ins, so that V8 has compiled what a start and the
 * first callers need. The build keeps the compiled code: a process that was killed serves sooner.
 */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createRandom, sleepMs } from '@egretyoke/common'
import { settingsPathVariable } from '@egretyoke/platform/testing'
import { openCallerConnection } from './caller-connection.js'
import type { CallerConnection } from './caller-connection.js'
import { writeGatewaySettings } from './gateway-process.js'
import { createSoakRecord } from './soak-record.js'
import { keyOf, placeGateways, startSoakWorld } from './soak-world.js'

const rounds = 20
const connectDelayMs = 20

const statements = (round: number): string[] => [
  `w${round} WRITE item x`,
  `r${round} READ item`,
  '- SET zone 1',
  '- PREPARE mine READ shape',
  `e${round} EXECUTE mine item`,
  '- BEGIN',
  `t${round} WRITE item y`,
  `c${round} COMMIT`,
  '- BEGIN READ',
  `s${round} READ item`,
  '- ROLLBACK'
]

const connect = async (port: number, database: string): Promise<CallerConnection> => {
  for (;;) {
    const connection = await openCallerConnection(port, database, keyOf('yard-a'))
    if (connection !== undefined) return connection
    await sleepMs(connectDelayMs)
  }
}

/** Runs the program and some sessions; the caller has to end the process afterwards. */
export const rehearse = async (run: () => Promise<void>): Promise<void> => {
  const folder = mkdtempSync(join(tmpdir(), 'egretyoke-rehearsal-'))
  const world = await startSoakWorld({ gateways: 0, folder, record: createSoakRecord(), random: createRandom(1) })
  const [place] = await placeGateways(1, world.store.address)
  process.env[settingsPathVariable] = writeGatewaySettings(place, folder)
  process.argv = [process.argv[0], 'egretyoke-platform', '--metrics-port', `${place.metricsPort}`]
  await run()
  for (const database of ['slots', 'boards', 'ledger']) {
    const connection = await connect(place.callerPort, database)
    for (let round = 0; round < rounds; round++) {
      for (const text of statements(round)) await connection.ask(`QUERY ${text}`)
    }
    connection.close()
  }
  await world.close()
  rmSync(folder, { recursive: true })
}
