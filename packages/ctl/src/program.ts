/**
 * The command line of egretyokectl.
 */
import { Command, CommanderError, InvalidArgumentError, Option } from 'commander'
import { createLogger, exitCodes, messageOf, programVersion } from '@egretyoke/common'
import { apply } from './commands/apply.js'
import type { ApplyOptions } from './commands/apply.js'
import { setDataCentre } from './commands/data-centre.js'
import { diff } from './commands/diff.js'
import { causes } from './commands/causes.js'
import type { CausesOptions } from './commands/causes.js'
import { explain } from './commands/explain.js'
import { get } from './commands/get.js'
import { createWorkspaceKey, withdrawWorkspaceKey } from './commands/keys.js'
import { settle } from './commands/settle.js'
import { status, watchStatus } from './commands/status.js'
import { validate } from './commands/validate.js'
import { openContext } from './context.js'
import type { Context, PlatformOptions } from './context.js'
import { countFields } from './failure-counts.js'
import { inForceReport } from './in-force-report.js'
import type { Report } from './report.js'

/** Output streams. A report goes to `out` when the command succeeded, else to `err`; with `--json` always to `out`. */
export type Output = {
  out: (text: string) => void
  err: (text: string) => void
}

/** Options of `runCtl`. */
export type RunOptions = {
  output: Output
  /** Ends `status --watch`. */
  signal: AbortSignal
}

const exitCodeText = `
Exit codes:
  0   done
  2   wrong usage, or nothing found; nothing was changed
  3   findings in the documents or settings, each with file:line:column; nothing was changed
  4   conflict: another change was accepted first, both versions are shown; nothing was changed
  5   the platform or a VM does not answer, or the outcome of a change is unknown; the message says which
  70  internal error`

const parseCount = (text: string): number => {
  if (!/^\d{1,15}$/.test(text)) throw new InvalidArgumentError('a whole number is expected')
  return Number(text)
}

type WaitOption = { wait?: boolean }

const waitOption = () => new Option('--wait', 'return when every live VM has the change in force')

type GlobalOptions = PlatformOptions & { json?: boolean }
type Reports = AsyncIterable<Report> | Promise<Report>

const writeReport = (report: Report, json: boolean | undefined, output: Output): void => {
  if (json) return output.out(JSON.stringify(report.data) + '\n')
  const write = report.exitCode === exitCodes.ok ? output.out : output.err
  write(report.lines.map(line => line + '\n').join(''))
}

async function * toReportStream (reports: Reports): AsyncGenerator<Report> {
  if (Symbol.asyncIterator in reports) yield * reports
  else yield await reports
}

const addOptions = (program: Command): Command => program
  .addOption(new Option('--platform <address>', 'HOST:PORT of the platform').env('EGRETYOKE_PLATFORM'))
  .addOption(new Option('--channels <file>', 'file with TLS settings, JSON with comments').env('EGRETYOKE_CHANNELS'))
  .option('--timeout-ms <ms>', 'timeout of each call to the platform', parseCount, 2000)
  .option('--wait-ms <ms>', 'how long to retry while the platform or a VM does not answer', parseCount, 30_000)
  .option('--json', 'write one line of JSON')

/** Runs one command line, given without the program's name. Returns the exit code. */
export const runCtl = async (args: string[], { output, signal }: RunOptions): Promise<number> => {
  const log = createLogger('ctl')
  let exitCode: number = exitCodes.ok
  const program = addOptions(new Command('egretyokectl'))
    .description('Shows and changes the configuration of an egretyoke fleet.')
    .version(programVersion)
    .addHelpText('after', exitCodeText)
    .exitOverride()
    .configureOutput({ writeOut: output.out, writeErr: output.err })

  const finish = async (reports: Reports) => {
    const { json } = program.opts<GlobalOptions>()
    for await (const report of toReportStream(reports)) {
      writeReport(report, json, output)
      exitCode = report.exitCode
    }
  }
  const withPlatform = async (command: (context: Context) => Reports) => {
    const context = await openContext(program.opts<GlobalOptions>(), log)
    if (!context.ok) return finish(Promise.resolve(context.val))
    try {
      await finish(command(context.val))
    } finally {
      context.val.close()
    }
  }
  const withChange = (options: WaitOption, change: (context: Context) => Promise<Report>) =>
    withPlatform(async context => {
      const report = await change(context)
      return options.wait ? inForceReport(context, report) : report
    })
  const addCommand = (parent: Command, usage: string, description: string) =>
    parent.command(usage).description(description).addHelpText('after', exitCodeText)

  addCommand(program, 'validate <dir>', 'check the documents of a folder without calling the platform')
    .action(directory => finish(validate(directory)))
  addCommand(program, 'explain <request> <files...>', 'report the outcome of a request and its cause from log files')
    .action((request, files) => finish(explain(request, files)))
  addCommand(program, 'causes <files...>', 'count the requests without success by their causes, from log files')
    .option('--by <fields>', `fields to count by, separated by commas: ${countFields.join(', ')}`, '')
    .option('--window-ms <ms>', 'length of the windows of --by window', parseCount, 2000)
    .option('--from <time>', 'only lines at or after this time, ISO 8601')
    .option('--until <time>', 'only lines before this time, ISO 8601')
    .action((files, options: CausesOptions) => finish(causes(files, options)))
  addCommand(program, 'diff <dir>', 'compare the documents of a folder with those in force')
    .action(directory => withPlatform(context => diff(context, directory)))
  addCommand(program, 'apply <dir>', 'replace the configuration in force with the documents of a folder')
    .option('--dry-run', 'show the differences without applying them')
    .option('--base <version>', 'version that the documents are based on', parseCount)
    .addOption(waitOption())
    .action((directory, options: ApplyOptions & WaitOption) => withChange(options, context =>
      apply(context, directory, options)))
  addCommand(program, 'get [name]', 'show the documents in force')
    .option('--out <dir>', 'write them and their version to a folder')
    .action((name, options) => withPlatform(context => get(context, name, options.out)))
  addCommand(program, 'settle <change-id>', 'determine the outcome of a change that was unsettled')
    .action(changeId => withPlatform(context => settle(context, changeId)))
  addCommand(program, 'status', 'show the version in force, data centres, groups and VMs')
    .option('--watch', 'repeat every two seconds')
    .action(options => withPlatform(context => options.watch ? watchStatus(context, signal) : status(context)))

  const key = addCommand(program, 'key', 'create and withdraw keys of workspaces')
  addCommand(key, 'create <workspace> <key-id>', 'create a key and show it once')
    .addOption(waitOption())
    .action((workspace, keyId, options) => withChange(options, context =>
      createWorkspaceKey(context, workspace, keyId)))
  addCommand(key, 'withdraw <workspace> <key-id>', 'withdraw a key; its id is not reused')
    .addOption(waitOption())
    .action((workspace, keyId, options) => withChange(options, context =>
      withdrawWorkspaceKey(context, workspace, keyId)))
  const dataCentre = addCommand(program, 'data-centre', 'take data centres out of service and put them back')
  addCommand(dataCentre, 'out <name>', 'take a data centre out of service: it gets no new work')
    .addOption(waitOption())
    .action((name, options) => withChange(options, context => setDataCentre(context, name, 'out')))
  addCommand(dataCentre, 'in <name>', 'put a data centre back into service')
    .addOption(waitOption())
    .action((name, options) => withChange(options, context => setDataCentre(context, name, 'in')))

  try {
    await program.parseAsync(args, { from: 'user' })
  } catch (thrown) {
    if (thrown instanceof CommanderError) return thrown.exitCode === 0 ? exitCodes.ok : exitCodes.badUsage
    output.err(`egretyokectl: ${messageOf(thrown)}\n`)
    return exitCodes.internal
  }
  return exitCode
}
