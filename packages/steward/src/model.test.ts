import test from 'ava'
import { explore } from './model-explorer.js'
import type { ExplorationBounds } from './model-explorer.js'
import type { Defect, Scenario } from './model-fleet.js'

// Capturing a stack trace on each abort of a signal would take a third of the exploration's time.
Error.stackTraceLimit = 0

/** Both stewards are cut off from the old primary; the entries and the other members can reach it. */
const oldPrimaryCutOff = [['b', 'c'], ['b', 'c']]
/** The second steward can reach the old primary, but not the first steward's candidate. */
const differentReach = [['b', 'c'], ['a', 'c']]

const scenario = (fields: Partial<Scenario>): Scenario =>
  ({ defect: 'none', reachableMembers: oldPrimaryCutOff, entryCount: 1, maxWrites: 1, maxFaults: 0, ...fields })

const bounds = (fields: Partial<ExplorationBounds>): ExplorationBounds =>
  ({ maxSwitches: 1, maxSteps: 60, maxRuns: 200_000, attemptsPerSteward: 1, ...fields })

const soundScenarios: Array<{ title: string, scenario: Scenario, bounds: ExplorationBounds }> = [
  { title: 'two stewards, one entry', scenario: scenario({}), bounds: bounds({ maxSwitches: 2 }) },
  {
    title: 'two stewards that reach different members',
    scenario: scenario({ reachableMembers: differentReach }),
    bounds: bounds({ maxSwitches: 2 })
  },
  { title: 'two stewards, one lost or dropped call', scenario: scenario({ maxFaults: 1 }), bounds: bounds({}) },
  {
    title: 'one steward with two attempts, one lost or dropped call',
    scenario: scenario({ reachableMembers: [['b', 'c']], maxFaults: 1 }),
    bounds: bounds({ attemptsPerSteward: 2 })
  },
  {
    title: 'one steward, two entries',
    scenario: scenario({ reachableMembers: [['b', 'c']], entryCount: 2 }),
    bounds: bounds({ maxSwitches: 2 })
  }
]

for (const { title, scenario: setting, bounds: limits } of soundScenarios) {
  test.serial(`promotion keeps its invariants in all interleavings: ${title}`, async t => {
    t.timeout(170_000)
    const exploration = await explore(setting, limits)
    t.is(exploration.violation, undefined, exploration.path.join('\n'))
    t.true(exploration.isComplete)
    t.true(exploration.activeTerms.includes(2))
    t.log(`${exploration.states} states, ${exploration.runs} runs`)
  })
}

const defectCases: Array<{ defect: Defect, reachableMembers?: string[][], violation: RegExp }> = [
  { defect: 'stopHasNoEffect', violation: /is confirmed while term \d is active/ },
  { defect: 'fenceHasNoEffect', violation: /confirmed w1 is not in term 2/ },
  { defect: 'noTermCheck', violation: /was deposed/ },
  { defect: 'noRevisionCheck', violation: /went back to term 2/ },
  { defect: 'noAdoption', reachableMembers: differentReach, violation: /was dropped in term 2 and is back in term 3/ }
]

for (const { defect, reachableMembers, violation } of defectCases) {
  test.serial(`the model check detects the defect ${defect}`, async t => {
    t.timeout(170_000)
    const exploration = await explore(
      scenario({ defect, reachableMembers: reachableMembers ?? oldPrimaryCutOff }), bounds({ maxSwitches: 3 }))
    t.regex(exploration.violation ?? 'nothing', violation)
  })
}
