/**
 * `egretyoke-demo`: runs a deployment of `examples/` on the stand-ins, with the evacuation of a data centre, an
 * overload by one workspace, and a failover.
 */
import { exitCodeHelp, exitCodes, messageOf, programVersion } from '@egretyoke/common'
import { startFleet } from '@egretyoke/testbed'
import { Command, Option } from 'commander'
import { parseSeconds, parseSeed } from './command-line.js'
import { deploymentNames, readDeployment } from './deployments.js'
import { demoJson, formatDemoTable, formatWorkspaceTable } from './demo-report.js'
import { planDemo } from './demo-plan.js'
import { violatedGuarantees } from './measures.js'
import { createProgressPrinter } from './progress.js'
import { runScenario } from './run-scenario.js'

type DemoOptions = { seconds: number, seed: number, deployment: string, json?: boolean }

const runDemo = async (options: DemoOptions): Promise<number> => {
  const description = readDeployment(options.deployment)
  const progress = createProgressPrinter()
  progress.printLine(`starting ${options.deployment}: ${description.vms.length} VMs`)
  const fleet = await startFleet(description)
  try {
    const plannedMs = options.seconds * 1_000
    const plan = planDemo(fleet.configuration(), plannedMs)
    progress.printLine(`running ${options.seconds} s; ${plan.floodingWorkspace} will exceed its rate`)
    const { measures } = await runScenario(
      fleet, { ...plan, plannedMs, seed: options.seed, runId: `demo${options.seed}` }, progress)
    progress.close()
    if (!options.json) {
      console.log(`\n${formatDemoTable(measures)}\n\n${formatWorkspaceTable(measures)}\n`)
    }
    const violated = violatedGuarantees(measures)
    if (violated.length > 0) progress.printLine(`violated guarantees: ${violated.join(', ')}`)
    if (options.json) console.log(JSON.stringify(demoJson(measures, options.deployment, options.seed)))
    return violated.length > 0 ? exitCodes.promiseBroken : exitCodes.ok
  } finally {
    progress.close()
    await fleet.close()
  }
}

/** Parses the command line and runs the demo. */
export const runDemoProgram = async (): Promise<void> => {
  const command = new Command('egretyoke-demo')
    .description('Runs a deployment of examples/ on the stand-ins and prints the four service measures.')
    .version(programVersion)
    .option('--seconds <n>', 'length of the run', parseSeconds, 60)
    .option('--seed <n>', 'seed of arrival times and random choices', parseSeed, 1)
    .addOption(new Option('--deployment <name>', 'folder under examples/')
      .choices(deploymentNames()).default('arenal'))
    .option('--json', 'end with one line of JSON on standard output, without the table')
    .addHelpText('after', exitCodeHelp)
    .exitOverride(error => process.exit(error.exitCode === 0 ? exitCodes.ok : exitCodes.badUsage))
  command.parse()
  try {
    process.exit(await runDemo(command.opts<DemoOptions>()))
  } catch (thrown) {
    console.error(`egretyoke-demo: ${messageOf(thrown)}`)
    process.exit(exitCodes.internal)
  }
}
