/**
 * The program that compares sessions with models: prints the counts, and the shortest sequence that contradicts them.
 */
import { randomInt } from 'node:crypto'
import { Command } from 'commander'
import { exitCodes } from '@egretyoke/common'
import { compareSessions } from './session-comparison.js'

const maxSeed = 2 ** 31

/** Runs the program with the given arguments; returns the exit code. */
export const runSessionsProgram = async (argv: readonly string[]): Promise<number> => {
  const command = new Command('egretyoke-sessions')
    .description('Runs random statements of several callers and checks that each runs as its caller set it up')
    .option('--seed <number>', 'seed; random by default')
    .option('--sequences <number>', 'number of sequences', '1000')
    .option('--one-word', 'prepared statements have texts of one word')
    .addHelpText('after', '\nExit codes: 0 no contradiction, 1 a contradiction (which is printed), 2 wrong usage.')
  command.parse([...argv], { from: 'user' })
  const options = command.opts<{ seed?: string, sequences: string, oneWord?: boolean }>()
  const seed = options.seed === undefined ? randomInt(maxSeed) : Number(options.seed)
  const sequences = Number(options.sequences)
  if (!Number.isInteger(seed) || !Number.isInteger(sequences) || sequences < 1) {
    console.error('--seed must be an integer and --sequences an integer above 0')
    return exitCodes.badUsage
  }
  const result = await compareSessions({ seed, sequences, preparedTexts: options.oneWord ? 'oneWord' : 'anyText' })
  const { statements, done, executed, firstProblems, problems, trace } = result
  console.log(`seed ${seed}: ${result.sequences} sequences`)
  console.log(`with those tried for a shorter one: ${statements} statements, ${done} done, ${executed} of them EXECUTE`)
  if (firstProblems.length === 0) return exitCodes.ok
  console.log(`sequence ${result.sequences} contradicts the models:`)
  for (const problem of firstProblems) console.log(`  ${problem}`)
  console.log('the shortest such sequence:')
  for (const step of trace) console.log(`  ${JSON.stringify(step)}`)
  for (const problem of problems) console.log(`  ${problem}`)
  return exitCodes.promiseBroken
}
