/**
 * The soak program: runs seeds one after another and prints the counts and breaches of each.
 */
import { randomInt } from 'node:crypto'
import { Command } from 'commander'
import { exitCodes } from '@egretyoke/common'
import { failedSeeds } from './failed-seeds.js'
import { runSoak } from './soak.js'

const maxSeed = 2 ** 31

type Options = {
  seed?: string
  seeds: string
  seconds: string
  gateways: string
  callers: string
  restores: string
  regressions?: boolean
  quiet?: boolean
}

const seedsOf = ({ seed, seeds, regressions }: Options): number[] => {
  if (regressions) return failedSeeds.map(failed => failed.seed)
  const first = seed === undefined ? randomInt(maxSeed) : Number(seed)
  return Array.from({ length: Number(seeds) }, (_, index) => first + index)
}

/** Runs the program with the given arguments; returns the exit code. */
export const runSoakProgram = async (argv: readonly string[]): Promise<number> => {
  const command = new Command('egretyoke-gateway-soak')
    .description('Runs gateways as processes under random faults and checks what callers and databases see')
    .option('--seed <number>', 'first seed; random by default')
    .option('--seeds <number>', 'number of seeds', '1')
    .option('--seconds <number>', 'duration of fault injection for each seed', '20')
    .option('--gateways <number>', 'number of gateways', '4')
    .option('--callers <number>', 'number of callers', '12')
    .option('--restores <number>', 'restores of the store from a copy, beside the faults', '0')
    .option('--regressions', 'run the seeds of past failures')
    .option('--quiet', 'do not print the faults')
    .addHelpText('after', '\nExit codes: 0 no breach, 1 at least one breach (its seed is printed), 2 wrong usage.')
  command.parse([...argv], { from: 'user' })
  const options = command.opts<Options>()
  const numbers = [options.seeds, options.seconds, options.gateways, options.callers].map(Number)
  if (numbers.some(number => !Number.isInteger(number) || number < 1)) {
    console.error('--seeds, --seconds, --gateways and --callers must be integers above 0')
    return exitCodes.badUsage
  }
  const restores = Number(options.restores)
  if (!Number.isInteger(restores) || restores < 0) {
    console.error('--restores must be an integer')
    return exitCodes.badUsage
  }
  const [, seconds, gateways, callers] = numbers
  let code: number = exitCodes.ok
  for (const seed of seedsOf(options)) {
    const result = await runSoak({ seed, seconds, gateways, callers, restores }, options.quiet ? () => {} : console.log)
    const { breaches, done, refused, unknown, logs } = result
    console.log(`seed ${seed}: ${done} done, ${refused} refused, ${unknown} unknown, ${breaches.length} breaches`)
    for (const { promise, detail } of breaches) console.log(`  ${promise}: ${detail}`)
    if (breaches.length === 0) continue
    console.log(`  logs in ${logs}`)
    code = exitCodes.promiseBroken
  }
  return code
}
