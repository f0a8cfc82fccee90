/**
 * Common main function of the server programs: command line, settings file, start-up line, signals and exit codes.
 */
import { readFileSync } from 'node:fs'
import { Command } from 'commander'
import type { ZodType } from 'zod'
import { formatFinding } from './findings.js'
import { readJsonWithComments } from './json-with-comments.js'
import { messageOf } from './typed-error.js'

/** Version reported by every program. */
export const programVersion = '0.1.0'

/** Exit codes of all programs. */
export const exitCodes = {
  ok: 0,
  promiseBroken: 1,
  badUsage: 2,
  badSettings: 3,
  conflict: 4,
  unavailable: 5,
  internal: 70
} as const

/** Help text about the exit codes and signals, for `--help`. */
export const exitCodeHelp = `
Exit codes: 0 success, 1 a guarantee was violated, 2 usage error, 3 findings in settings or input,
4 conflict with another change, 5 platform or peers unavailable, 70 internal error.
SIGTERM drains, then exits; a second SIGTERM exits immediately.`

/** A running program. */
export type RunningProgram = {
  /** Bound addresses, printed as one line of JSON on standard output. */
  addresses: Record<string, string>
  /** Completes the work in progress, then releases all resources. */
  close: () => Promise<void>
}

/** A program that runs until it receives a termination signal. */
export type ServerProgram<Settings> = {
  name: string
  description: string
  settingsSchema: ZodType<Settings>
  start: (settings: Settings) => Promise<RunningProgram>
}

const readSettings = <Settings>(program: ServerProgram<Settings>, file: string): Settings => {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (thrown) {
    console.error(`${file}: ${messageOf(thrown)}`)
    process.exit(exitCodes.badSettings)
  }
  const settings = readJsonWithComments(text, file, program.settingsSchema)
  if (settings.ok) return settings.val
  for (const finding of settings.val) console.error(formatFinding(finding))
  process.exit(exitCodes.badSettings)
}

const runUntilSignal = async <Settings>(program: ServerProgram<Settings>, settings: Settings): Promise<void> => {
  const running = await program.start(settings)
  process.stdout.write(JSON.stringify({ program: program.name, addresses: running.addresses }) + '\n')
  let isClosing = false
  const stop = async () => {
    if (isClosing) process.exit(exitCodes.ok)
    isClosing = true
    await running.close()
    process.exit(exitCodes.ok)
  }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
}

/** Parses the command line and runs a server program until SIGTERM or SIGINT. */
export const runServerProgram = async <Settings>(program: ServerProgram<Settings>): Promise<void> => {
  const command = new Command(program.name)
    .description(program.description)
    .version(programVersion)
    .requiredOption('--settings <file>', 'settings file, JSON with comments')
    .option('--check', 'validate the settings file and exit')
    .addHelpText('after', exitCodeHelp)
    .exitOverride(error => process.exit(error.exitCode === 0 ? exitCodes.ok : exitCodes.badUsage))
  command.parse()
  const options = command.opts<{ settings: string, check?: boolean }>()
  const settings = readSettings(program, options.settings)
  if (options.check) return console.log('settings are valid')
  try {
    await runUntilSignal(program, settings)
  } catch (thrown) {
    console.error(`${program.name}: ${messageOf(thrown)}`)
    process.exit(exitCodes.internal)
  }
}
