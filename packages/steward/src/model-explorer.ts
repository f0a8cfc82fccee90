/**
 * Test support: explores all interleavings of two stewards, entries and platform faults, bounded by the number of
 * switches between actors. Each path runs the real promotion code from the initial state. A state that was already
 * visited with the same number of switches or fewer is not explored again.
 */
import { createHash } from 'node:crypto'
import { promote } from './coordination/promotion.js'
import { createModelFleet, modelAttemptTimeoutMs, modelContactExpiryMs } from './model-world.js'
import type { Action, Scenario, ModelFleet } from './model-world.js'

/** Bounds of an exploration. */
export type ExplorationBounds = { maxSwitches: number, maxSteps: number, maxRuns: number, attemptsPerSteward: number }

/** Result of an exploration. */
export type ExplorationResult = {
  runs: number
  states: number
  /** True if all paths were explored within the limit on runs. */
  isComplete: boolean
  /** Terms that became active in any run. */
  activeTerms: number[]
  violation: string | undefined
  /** Names of the actions that led to the violation. */
  path: string[]
}

const microtaskRounds = 30

/** Drains the microtask queue, so that each steward runs until it waits for its next call. */
const drainMicrotasks = async () => {
  for (let turn = 0; turn < microtaskRounds; turn++) await Promise.resolve()
}

const runSteward = async (world: ModelFleet, steward: number, attempts: number, signal: AbortSignal) => {
  const calls = world.callsOf(steward)
  for (let attempt = 0; attempt < attempts; attempt++) {
    const seen = await calls.readGroup()
    if (!seen.ok || !seen.val.value) continue
    const promotion = await promote({
      group: 'core',
      members: world.membersOf(steward),
      calls,
      timeouts: { contactExpiryMs: modelContactExpiryMs, memberTimeoutMs: 1, attemptTimeoutMs: modelAttemptTimeoutMs },
      signal
    }, seen.val)
    if (promotion.ok) return
  }
}

type SchedulePosition = { actor: string | undefined, switches: number }

const isSwitch = (position: SchedulePosition, action: Action, options: Action[]): boolean =>
  position.actor !== undefined && action.actor !== position.actor &&
  options.some(option => option.actor === position.actor && !option.isFault)

/** Explores a scenario until a violation is found, all paths are explored or a bound is reached. */
export const explore = async (scenario: Scenario, bounds: ExplorationBounds): Promise<ExplorationResult> => {
  const visited = new Map<string, number>()
  /** Paths to run, indexed by their number of switches. Paths with fewer switches run first. */
  const waiting: number[][][] = Array.from({ length: bounds.maxSwitches + 1 }, () => [])
  waiting[0].push([])
  const activeTerms = new Set<number>()
  let runs = 0
  let violation: string | undefined
  let violatingPath: string[] = []

  /** Records the state; true if it is new or was reached only with more switches before. */
  const isNew = (world: ModelFleet, position: SchedulePosition): boolean => {
    const key = createHash('md5').update(`${position.actor}${world.stateKey()}`).digest('base64')
    const fewest = visited.get(key)
    if (fewest !== undefined && fewest <= position.switches) return false
    visited.set(key, position.switches)
    return true
  }

  const runPath = async (prefix: number[]) => {
    const ending = new AbortController()
    const world = createModelFleet(scenario)
    for (const steward of scenario.reachableMembers.keys()) {
      runSteward(world, steward, bounds.attemptsPerSteward, ending.signal)
    }
    const taken: number[] = []
    const names: string[] = []
    let position: SchedulePosition = { actor: undefined, switches: 0 }
    while (taken.length < bounds.maxSteps) {
      await drainMicrotasks()
      const all = world.actions()
      const cost = (action: Action) => position.switches + Number(isSwitch(position, action, all))
      const options = all.filter(action => cost(action) <= bounds.maxSwitches)
      if (options.length === 0) break
      const isReplay = taken.length < prefix.length
      if (!isReplay && !isNew(world, position)) break
      // Actions that cause no switch come first.
      options.sort((left, right) => cost(left) - cost(right))
      if (!isReplay) {
        options.forEach((option, index) => index > 0 && waiting[cost(option)].push([...taken, index]))
      }
      const action = options[isReplay ? prefix[taken.length] : 0]
      position = { actor: action.actor, switches: cost(action) }
      taken.push(options.indexOf(action))
      names.push(action.name)
      world.run(action)
      if (world.violation()) break
    }
    for (const start of world.readStored().value.lineage) activeTerms.add(start.term)
    if (world.violation()) [violation, violatingPath] = [world.violation(), names]
    ending.abort()
  }

  const nextPath = () => waiting.find(paths => paths.length > 0)?.pop()
  for (let path = nextPath(); path && runs < bounds.maxRuns && !violation; path = nextPath()) {
    runs++
    await runPath(path)
  }
  const isComplete = waiting.every(paths => paths.length === 0)
  const terms = [...activeTerms].sort()
  return { runs, states: visited.size, isComplete, activeTerms: terms, violation, path: violatingPath }
}
