/**
 * Arbitraries of fast-check for histories of the share mechanism: requests, loans and failures in any order.
 */
import fc from 'fast-check'
import type { BoundExcess } from './bound-checker.js'
import { createShareSimulation, loanTtlMs } from './share-simulation.js'
import type { InjectedDefects, RequestPlan, ShareSimulation } from './share-simulation.js'

/** Number of steps in a history. */
const minSteps = 10
const maxSteps = 40

/** Maximum delay until a VM applies a change, in milliseconds; longer than a loan with its margin. */
const maxApplyDelayMs = 2500

/** Maximum duration of a pause or network partition, in milliseconds. */
const maxFaultMs = 3 * loanTtlMs

/** Number of tokens to consume from a VM to empty its bucket; no bucket holds more. */
const maxTokens = 100

/** Maximum relative error of a VM's clock rate; below the error for which the mechanism compensates. */
const maxClockError = 0.0001

type Step = { run: (simulation: ShareSimulation) => void }

// Creates a step that is printed as its name and arguments in a counterexample.
const step = <Args>(name: string, args: fc.Arbitrary<Args>, run: (simulation: ShareSimulation, args: Args) => void) =>
  args.map((value): Step => {
    const described = { run: (simulation: ShareSimulation) => run(simulation, value) }
    return Object.assign(described, { [fc.toStringMethod]: () => `${name} ${fc.stringify(value)}` })
  })

// Uniform values; those of fc.double lie mostly near 0.
const upTo = (max: number) => fc.nat({ max: 1000 }).map(thousandths => max * thousandths / 1000)
const oneIn = (count: number) => fc.nat({ max: count - 1 }).map(roll => roll === 0)

const vm = fc.nat({ max: 8 })
const applyDelaysMs = fc.array(fc.nat({ max: maxApplyDelayMs }), { minLength: 3, maxLength: 3 })
const ratePerSec = fc.integer({ min: 5, max: 100 })
const secondsOfBurst = upTo(0.5)
const burstOf = (rate: number, seconds: number) => Math.max(1, Math.round(rate * seconds))

const plan = fc.record({
  tokensWanted: upTo(20),
  // With fraction 0, tokens are lent with capacity for them.
  fractionWanted: fc.oneof(fc.constant(0), upTo(1)),
  ttlMs: fc.constantFrom(50, loanTtlMs / 2, loanTtlMs),
  requestDelayMs: fc.oneof(fc.nat({ max: 5 }), fc.nat({ max: 1500 })),
  replyDelayMs: fc.oneof(fc.nat({ max: 5 }), fc.nat({ max: 1500 })),
  isReplyLost: oneIn(10),
  isReplyDuplicated: oneIn(10)
})

const requestFromAll = (simulation: ShareSimulation, borrower: number, plan: RequestPlan) => {
  for (let peer = 0; peer < simulation.vmCount(); peer++) simulation.requestLoan(borrower, peer, plan)
}

const drainAll = (simulation: ShareSimulation) => {
  for (let index = 0; index < simulation.vmCount(); index++) simulation.consume(index, maxTokens)
}

const waitMs = fc.record({ ms: fc.oneof(fc.nat({ max: 20 }), fc.nat({ max: 2 * loanTtlMs })) })
const wait = step('wait', waitMs, (simulation, { ms }) => simulation.advance(ms))

const takeArgs = fc.record({ vm, upTo: fc.integer({ min: 1, max: 40 }) })
const take = step('take', takeArgs, (simulation, args) => simulation.consume(args.vm, args.upTo))

const ask = step('ask', fc.record({ vm, peer: vm, plan }), (simulation, args) =>
  simulation.requestLoan(args.vm, args.peer, args.plan))

const rush = step('rush', fc.record({ vm, ms: fc.nat({ max: 1200 }), plan }), (simulation, args) => {
  requestFromAll(simulation, args.vm, args.plan)
  simulation.advance(args.ms)
  drainAll(simulation)
})

// All VMs consume their tokens just before and just after tokens in transit arrive.
const flight = step('flight', fc.record({ vm, ms: fc.nat({ max: 900 }), plan }), (simulation, args) => {
  requestFromAll(simulation, args.vm, { ...args.plan, requestDelayMs: 1, replyDelayMs: args.ms })
  simulation.advance(args.ms)
  drainAll(simulation)
  simulation.advance(1)
  drainAll(simulation)
})

// One VM repeatedly consumes all its tokens; the others update their shares only afterwards.
const pressArgs = fc.record({ vm, rounds: fc.nat({ max: 12 }), everyMs: fc.nat({ max: 150 }), plan })
const press = step('press', pressArgs, (simulation, args) => {
  drainAll(simulation)
  requestFromAll(simulation, args.vm, { ...args.plan, requestDelayMs: 0, replyDelayMs: 1 })
  for (let round = 0; round < args.rounds; round++) {
    simulation.advance(args.everyMs)
    simulation.consume(args.vm, maxTokens)
  }
  drainAll(simulation)
})

// A loan expires while its renewal is in flight; all VMs consume their tokens just before and just after the expiry.
const lateRenewalArgs = fc.record({ vm, leadMs: fc.integer({ min: 1, max: 40 }), plan, renewal: plan })
const lateRenewal = step('lateRenewal', lateRenewalArgs, (simulation, args) => {
  requestFromAll(simulation, args.vm, { ...args.plan, requestDelayMs: 0, replyDelayMs: 1 })
  simulation.advance(args.plan.ttlMs - args.leadMs)
  requestFromAll(simulation, args.vm, { ...args.renewal, requestDelayMs: 0, replyDelayMs: args.leadMs + 1 })
  simulation.advance(args.leadMs - 1)
  drainAll(simulation)
  simulation.advance(3)
  drainAll(simulation)
})

const changeArgs = fc.record({ ratePerSec, secondsOfBurst, delaysMs: applyDelaysMs })
const changeLimit = step('changeLimit', changeArgs, (simulation, args) =>
  simulation.changeLimit(args.ratePerSec, burstOf(args.ratePerSec, args.secondsOfBurst), args.delaysMs))

const pauseArgs = fc.record({ vm, ms: fc.integer({ min: 1, max: maxFaultMs }), clockStops: fc.boolean() })
const pause = step('pause', pauseArgs, (simulation, args) => simulation.pause(args.vm, args.ms, args.clockStops))

const cutArgs = fc.record({ one: vm, other: vm, ms: fc.nat({ max: maxFaultMs }) })
const cut = step('cut', cutArgs, (simulation, args) => simulation.partition(args.one, args.other, args.ms))

const killAndRestart = step('killAndRestart', vm, (simulation, index) => {
  simulation.kill(index)
  simulation.restart(index)
})

const removeArgs = fc.record({ vm, delaysMs: applyDelaysMs })
const fault = fc.oneof(
  killAndRestart,
  pause,
  cut,
  changeLimit,
  step('kill', vm, (simulation, index) => simulation.kill(index)),
  step('restart', vm, (simulation, index) => simulation.restart(index)),
  step('giveUpAsks', vm, (simulation, index) => simulation.cancelRequests(index)),
  step('addVm', applyDelaysMs, (simulation, delaysMs) => simulation.addVm(delaysMs)),
  step('removeDead', removeArgs, (simulation, args) => simulation.removeKilled(args.vm, args.delaysMs))
)

// A VM borrows from all others, faults occur, and later all VMs consume their tokens.
const failingLoanArgs = fc.record({
  vm,
  plan,
  heldMs: fc.nat({ max: loanTtlMs }),
  faults: fc.array(fault, { minLength: 1, maxLength: 3 }),
  laterMs: fc.nat({ max: maxFaultMs })
})
const failingLoan = step('failingLoan', failingLoanArgs, (simulation, args) => {
  requestFromAll(simulation, args.vm, { ...args.plan, requestDelayMs: 1, replyDelayMs: 1 })
  simulation.advance(args.heldMs)
  for (const { run } of args.faults) run(simulation)
  simulation.advance(args.laterMs)
  drainAll(simulation)
})

const anyStep = fc.oneof(
  { arbitrary: wait, weight: 3 },
  { arbitrary: take, weight: 3 },
  { arbitrary: ask, weight: 4 },
  { arbitrary: rush, weight: 2 },
  { arbitrary: flight, weight: 2 },
  { arbitrary: press, weight: 2 },
  { arbitrary: lateRenewal, weight: 2 },
  { arbitrary: failingLoan, weight: 3 },
  { arbitrary: fault, weight: 2 }
)

/** Arbitrary histories; the steps can run on any simulation. */
export const shareHistories = fc.record({
  vmCount: fc.integer({ min: 3, max: 9 }),
  ratePerSec,
  secondsOfBurst,
  clockErrors: fc.array(
    upTo(2 * maxClockError).map(error => error - maxClockError), { minLength: 3, maxLength: 3 }),
  pauseDetection: fc.constantFrom('wallClock' as const, 'expireLoans' as const),
  steps: fc.array(anyStep, { minLength: minSteps, maxLength: maxSteps, size: 'max' })
})

/** One history. */
export type ShareHistory = typeof shareHistories extends fc.Arbitrary<infer History> ? History : never

/** Result of a history. */
export type HistoryResult = { admitted: number, excess: BoundExcess | undefined }

/** Runs a history, with the intact mechanism or with injected defects. */
export const runShareHistory = (history: ShareHistory, defects: InjectedDefects = {}): HistoryResult => {
  const { steps, ...options } = history
  const burst = burstOf(history.ratePerSec, history.secondsOfBurst)
  const simulation = createShareSimulation({ ...options, burst, defects })
  for (const { run } of steps) run(simulation)
  return { admitted: simulation.admitted(), excess: simulation.excess() }
}
