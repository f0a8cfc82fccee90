/**
 * `egretyoke-experiment`: lists and runs the experiments under `experiments/`.
 */
import { join } from 'node:path'
import { exitCodeHelp, exitCodes, formatFinding, messageOf, programVersion } from '@egretyoke/common'
import { Command } from 'commander'
import { parseSeconds, parseSeed } from './command-line.js'
import { experimentNames, readExperiment } from './experiment/experiment-files.js'
import { evaluateBounds } from './experiment/experiment-result.js'
import type { ExperimentOutcome } from './experiment/experiment-result.js'
import type { Experiment } from './experiment/experiment-schema.js'
import { runConfigExperiment } from './experiment/run-config-experiment.js'
import { runControlExperiment } from './experiment/run-control-experiment.js'
import { runLoadExperiment } from './experiment/run-load-experiment.js'
import type { LogProgress } from './experiment/run-load-experiment.js'
import { runOverheadExperiment } from './experiment/run-overhead-experiment.js'
import { formatReport, writeResults } from './report/write-results.js'

type RunOptions = { seconds?: number, seed?: number, out?: string }

const logProgress: LogProgress = text => console.error(`        ${text}`)

const runExperiment = (experiment: Experiment, seconds: number, seed: number): Promise<ExperimentOutcome> => {
  switch (experiment.kind) {
    case 'load': return runLoadExperiment(experiment, seconds, seed, logProgress)
    case 'config': return runConfigExperiment(experiment, seconds, seed, logProgress)
    case 'overhead': return runOverheadExperiment(experiment, seconds, seed, logProgress)
    case 'control-cost': return runControlExperiment(experiment, seconds, logProgress)
  }
}

const run = async (name: string, options: RunOptions): Promise<number> => {
  if (!experimentNames().includes(name)) {
    console.error(`unknown experiment "${name}"; available: ${experimentNames().join(', ')}`)
    return exitCodes.badUsage
  }
  const read = readExperiment(name)
  if (!read.ok) {
    for (const finding of read.val) console.error(formatFinding(finding))
    return exitCodes.badSettings
  }
  const experiment = read.val
  const seconds = options.seconds ?? experiment.seconds
  const seed = options.seed ?? experiment.seed
  const outcome = await runExperiment(experiment, seconds, seed)
  const bounds = evaluateBounds(experiment.bounds, outcome.rows)
  const header = { name, title: experiment.title, seed, seconds, columns: experiment.columns }
  const folder = options.out ?? join('results', name)
  writeResults(folder, header, outcome, bounds)
  console.log(formatReport(header, outcome, bounds))
  logProgress(`results written to ${folder}`)
  return bounds.every(bound => bound.isMet) ? exitCodes.ok : exitCodes.promiseBroken
}

const list = () => {
  for (const name of experimentNames()) {
    const read = readExperiment(name)
    console.log(`${name.padEnd(20)} ${read.ok ? read.val.title : read.val.map(formatFinding).join('; ')}`)
  }
}

const runAndExit = async (name: string, options: RunOptions) => {
  try {
    process.exit(await run(name, options))
  } catch (thrown) {
    console.error(`egretyoke-experiment: ${messageOf(thrown)}`)
    process.exit(exitCodes.internal)
  }
}

/** Parses the command line and runs the given command. */
export const runExperimentProgram = async (): Promise<void> => {
  const command = new Command('egretyoke-experiment')
    .description('Lists and runs the experiments under experiments/.')
    .version(programVersion)
    .addHelpText('after', `${exitCodeHelp}\nExit code 1 is also returned when a bound is not met.`)
    .exitOverride(error => process.exit(error.exitCode === 0 ? exitCodes.ok : exitCodes.badUsage))
  command.command('list').description('print the names and titles of all experiments').action(list)
  command.command('run <name>')
    .description('run an experiment and write its results')
    .option('--seconds <n>', 'length of each scenario', parseSeconds)
    .option('--seed <n>', 'seed of arrival times and random choices', parseSeed)
    .option('--out <folder>', 'output folder; results/NAME by default')
    .action(runAndExit)
  await command.parseAsync()
}
