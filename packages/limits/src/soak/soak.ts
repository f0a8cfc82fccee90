/**
 * The soak program: runs random histories of the share mechanism with consecutive seeds until the time limit, and stops
 * at the first seed that breaks the bound and prints it. `--seed` sets the first seed, so that a failure can be
 * reproduced.
 */
import { randomInt } from 'node:crypto'
import { parseArgs } from 'node:util'
import fc from 'fast-check'
import { exitCodes, monotonicMs } from '@egretyoke/common'
import { runShareHistory, shareHistories } from './share-history.js'

/** Number of histories per seed. */
const historiesPerSeed = 2000

/** Exclusive upper limit of a random first seed. */
const maxSeed = 2 ** 31

const defaultMinutes = 1

const help = `usage: egretyoke-soak [--seed N] [--minutes M]
Runs random histories of the share mechanism, ${historiesPerSeed} per seed, for M minutes.
M defaults to ${defaultMinutes}, N to a random seed.
Exit codes: 0 the bound held, 1 the bound was broken (prints the seed), 2 invalid usage.`

/** Options of a soak run. */
export type SoakPlan = { firstSeed: number, minutes: number }

const planFrom = (args: string[]): SoakPlan | undefined => {
  const options = { seed: { type: 'string' }, minutes: { type: 'string' }, help: { type: 'boolean' } } as const
  const { values } = parseArgs({ args, options })
  if (values.help) return undefined
  const firstSeed = values.seed === undefined ? randomInt(maxSeed) : Number(values.seed)
  const minutes = values.minutes === undefined ? defaultMinutes : Number(values.minutes)
  return Number.isInteger(firstSeed) && minutes > 0 ? { firstSeed, minutes } : undefined
}

// Yields at least one seed, and further seeds until the time limit.
function * seedsFor ({ firstSeed, minutes }: SoakPlan): Generator<number> {
  const endMs = monotonicMs() + minutes * 60_000
  for (let seed = firstSeed; seed === firstSeed || monotonicMs() < endMs; seed++) yield seed
}

/** Runs the histories of one seed; returns a report if the bound was broken. */
const checkSeed = (seed: number): string | undefined => {
  const property = fc.property(shareHistories, history => runShareHistory(history).excess === undefined)
  const result = fc.check(property, { seed, numRuns: historiesPerSeed })
  return result.failed ? fc.defaultReportMessage(result) : undefined
}

/** Runs the program with its arguments; returns the exit code. */
export const runSoak = (args: string[], print: (line: string) => void = console.log): number => {
  let plan: SoakPlan | undefined
  try {
    plan = planFrom(args)
  } catch {
    plan = undefined
  }
  if (plan === undefined) {
    print(help)
    return args.includes('--help') ? exitCodes.ok : exitCodes.badUsage
  }
  let seeds = 0
  for (const seed of seedsFor(plan)) {
    const report = checkSeed(seed)
    if (report !== undefined) {
      print(`the bound was broken with --seed ${seed}\n${report}`)
      return exitCodes.promiseBroken
    }
    seeds++
  }
  const lastSeed = plan.firstSeed + seeds - 1
  print(`the bound held in ${seeds * historiesPerSeed} histories, seeds ${plan.firstSeed} to ${lastSeed}`)
  return exitCodes.ok
}
