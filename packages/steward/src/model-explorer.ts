/**
 * Test support: explores all interleavings of two stewards, entries and platform faults, bounded by the number of
 * switches between actors. Each path runs the real promotion code from the initial state. A state that was already
 * visited with the same number of switches or fewer is not explored again.
 */
import { createHash } from 'node:crypto'
import { promote } from './coordination/promotion.js'
import { createModelFleet, modelAttemptTimeoutMs, modelContactExpiryMs } from './model-fleet.js'
import type { Action, ModelFleet, Scenario } from './model-fleet.js'

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
  for (let round = 0; round < microtaskRounds; round++) await Promise.resolve()
}

const runSteward = async (fleet: ModelFleet, steward: number, attempts: number, signal: AbortSignal) => {
  const calls = fleet.callsOf(steward)
  for (let attempt = 0; attempt < attempts; attempt++) {
    const stored = await calls.readGroup()
    if (!stored.ok || !stored.val.value) continue
    const promotion = await promote({
      group: 'core',
      members: fleet.membersOf(steward),
      calls,
      timeouts: { contactExpiryMs: modelContactExpiryMs, memberTimeoutMs: 1, attemptTimeoutMs: modelAttemptTimeoutMs },
      signal
    }, stored.val)
    if (promotion.ok) return
  }
}

type SchedulePosition = { actor: string | undefined, switches: number }

const isSwitch = (schedule: SchedulePosition, action: Action, options: Action[]): boolean =>
  schedule.actor !== undefined && action.actor !== schedule.actor &&
  options.some(option => option.actor === schedule.actor && !option.isFault)

/** Explores a scenario until a violation is found, all paths are explored or a bound is reached. */
export const explore = async (scenario: Scenario, bounds: ExplorationBounds): Promise<ExplorationResult> => {
  const visited = new Map<string, number>()
  /** Paths to run, indexed by their number of switches. Paths with fewer switches run first. */
  const pendingPaths: number[][][] = Array.from({ length: bounds.maxSwitches + 1 }, () => [])
  pendingPaths[0].push([])
  const activeTerms = new Set<number>()
  let runs = 0
  let violation: string | undefined
  let violatingPath: string[] = []

  /** Records the state; true if it is new or was reached only with more switches before. */
  const isNew = (fleet: ModelFleet, schedule: SchedulePosition): boolean => {
    const key = createHash('md5').update(`${schedule.actor}${fleet.stateKey()}`).digest('base64')
    const fewestSwitches = visited.get(key)
    if (fewestSwitches !== undefined && fewestSwitches <= schedule.switches) return false
    visited.set(key, schedule.switches)
    return true
  }

  const runPath = async (prefix: number[]) => {
    const runAbort = new AbortController()
    const fleet = createModelFleet(scenario)
    for (const steward of scenario.reachableMembers.keys()) {
      runSteward(fleet, steward, bounds.attemptsPerSteward, runAbort.signal)
    }
    const choices: number[] = []
    const names: string[] = []
    let schedule: SchedulePosition = { actor: undefined, switches: 0 }
    while (choices.length < bounds.maxSteps) {
      await drainMicrotasks()
      const actions = fleet.actions()
      const cost = (action: Action) => schedule.switches + Number(isSwitch(schedule, action, actions))
      const options = actions.filter(action => cost(action) <= bounds.maxSwitches)
      if (options.length === 0) break
      const isReplay = choices.length < prefix.length
      if (!isReplay && !isNew(fleet, schedule)) break
      // Actions that cause no switch come first.
      options.sort((left, right) => cost(left) - cost(right))
      if (!isReplay) {
        options.forEach((option, index) => index > 0 && pendingPaths[cost(option)].push([...choices, index]))
      }
      const action = options[isReplay ? prefix[choices.length] : 0]
      schedule = { actor: action.actor, switches: cost(action) }
      choices.push(options.indexOf(action))
      names.push(action.name)
      fleet.run(action)
      if (fleet.violation()) break
    }
    for (const termStart of fleet.readStored().value.lineage) activeTerms.add(termStart.term)
    if (fleet.violation()) [violation, violatingPath] = [fleet.violation(), names]
    runAbort.abort()
  }

  const nextPath = () => pendingPaths.find(paths => paths.length > 0)?.pop()
  for (let path = nextPath(); path && runs < bounds.maxRuns && !violation; path = nextPath()) {
    runs++
    await runPath(path)
  }
  const isComplete = pendingPaths.every(paths => paths.length === 0)
  const terms = [...activeTerms].sort()
  return { runs, states: visited.size, isComplete, activeTerms: terms, violation, path: violatingPath }
}
