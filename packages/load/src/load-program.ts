/**
 * `egretyoke-load`: sends open-loop load to a running deployment and reports the experiments' measures and checks.
 */
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import {
  exitCodeHelp, exitCodes, formatFinding, messageOf, programVersion, readJsonWithComments
} from '@egretyoke/common'
import { documentNames, readDocuments } from '@egretyoke/config'
import type { DocumentTexts } from '@egretyoke/config'
import { createCaller, readLog } from '@egretyoke/testbed'
import type { StoredConfiguration } from '@egretyoke/testbed'
import { Command } from 'commander'
import { z } from 'zod'
import { startBalancer } from './balancer.js'
import type { GroupLogs } from './checker/logged-writes.js'
import { parsePositive, parseSeconds, parseSeed } from './command-line.js'
import { formatDemoTable, formatWorkspaceTable } from './demo-report.js'
import { startStopwatch } from './faults.js'
import { runLoad } from './generator.js'
import { measureRun, violatedGuarantees } from './measures.js'
import { createProgressPrinter } from './progress.js'
import { standardStreams } from './standard-load.js'

type Options = {
  entry: string[]
  health: string[]
  primary: string[]
  configuration: string
  keys: string
  shareOfRate: number
  seconds: number
  seed: number
  json?: boolean
}

/** Keys by workspace; only workspaces with a key send requests. */
const keysSchema = z.record(z.string(), z.string())

/** Prints the findings of an invalid input file and exits. */
const exitWithBadSettings = (message: string): never => {
  console.error(message)
  process.exit(exitCodes.badSettings)
}

const readConfigurationFiles = (folder: string): StoredConfiguration => {
  const texts = Object.fromEntries(documentNames.map(name => {
    const file = join(folder, `${name}.jsonc`)
    return [name, { file, text: readFileSync(file, 'utf8') }]
  })) as DocumentTexts
  const read = readDocuments(texts, 1)
  return read.ok ? read.val : exitWithBadSettings(read.val.map(formatFinding).join('\n'))
}

const readKeys = (file: string): Record<string, string> => {
  const read = readJsonWithComments(readFileSync(file, 'utf8'), file, keysSchema)
  return read.ok ? read.val : exitWithBadSettings(read.val.map(formatFinding).join('\n'))
}

const readLogs = async (primaries: string[]): Promise<GroupLogs> => new Map(await Promise.all(
  primaries.map(async text => {
    const [group, address] = text.split('=')
    return [group, await readLog(address)] as const
  })))

const run = async (options: Options): Promise<number> => {
  const configuration = readConfigurationFiles(options.configuration)
  const keys = readKeys(options.keys)
  const caller = createCaller(options.entry)
  const balancer = startBalancer(options.entry.length, options.health)
  const progress = createProgressPrinter()
  const nowMs = startStopwatch()
  try {
    const durationMs = options.seconds * 1_000
    const streams = standardStreams(configuration, options.shareOfRate, durationMs)
      .filter(stream => keys[stream.workspace] !== undefined)
    const target = { caller, balancer, configuration, keyOf: (workspace: string) => keys[workspace] }
    const runId = `load${options.seed}-${Date.now()}`
    const history = await runLoad(
      target, { streams, durationMs, seed: options.seed, runId, onOperation: progress.onOperation })
    const logs = await readLogs(options.primary)
    const events = { failovers: [], dataCentreWindows: [], endedMs: nowMs() }
    const measures = measureRun(history, configuration, logs, events)
    if (options.json) console.log(JSON.stringify({ seed: options.seed, checkedGroups: [...logs.keys()], ...measures }))
    else console.log(`\n${formatDemoTable(measures)}\n\n${formatWorkspaceTable(measures)}\n`)
    if (measures.done === 0) return exitCodes.unavailable
    return violatedGuarantees(measures).length > 0 ? exitCodes.promiseBroken : exitCodes.ok
  } finally {
    progress.close()
    balancer.close()
    caller.close()
  }
}

const collect = (value: string, earlier: string[]): string[] => [...earlier, value]

/** Parses the command line and runs the load. */
export const runLoadProgram = async (): Promise<void> => {
  const command = new Command('egretyoke-load')
    .description('Sends open-loop load to a running deployment and checks its responses.')
    .version(programVersion)
    .requiredOption('--entry <address>', 'address of a VM for callers, HOST:PORT; may be repeated', collect, [])
    .option('--health <address>', 'health address of each VM, in the same order; without: always ready', collect, [])
    .option('--primary <group=address>', 'stand-in database whose log is compared with a group\'s writes', collect, [])
    .requiredOption('--configuration <folder>', 'folder with the four configuration documents')
    .requiredOption('--keys <file>', 'JSON with comments: key of each workspace that sends requests')
    .option('--share-of-rate <n>', 'load of each workspace as a fraction of its rate limit', parsePositive, 0.5)
    .option('--seconds <n>', 'length of the run', parseSeconds, 60)
    .option('--seed <n>', 'seed of arrival times and random choices', parseSeed, 1)
    .option('--json', 'end with one line of JSON on standard output, without the table')
    .addHelpText('after', `${exitCodeHelp}\nExit code 5 is also returned when no request succeeds.`)
    .exitOverride(error => process.exit(error.exitCode === 0 ? exitCodes.ok : exitCodes.badUsage))
  command.parse()
  try {
    process.exit(await run(command.opts<Options>()))
  } catch (thrown) {
    console.error(`egretyoke-load: ${messageOf(thrown)}`)
    process.exit(exitCodes.internal)
  }
}
