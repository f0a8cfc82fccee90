/**
 * Arbitraries of fast-check for histories of the share mechanism: requests, loans and failures in any order.
 */
import fc from 'fast-check'
import type { BoundExcess } from './bound-checker.js'
import { createShareWorld, loanTtlMs } from './share-world.js'
import type { AskPlan, BrokenWays, ShareWorld } from './share-world.js'

/** Number of steps in a history. */
const minSteps = 10
const maxSteps = 40

/** Maximum delay until a VM applies a change, in milliseconds; longer than a loan with its margin. */
const maxLearnDelayMs = 2500

/** Maximum duration of a pause or network partition, in milliseconds. */
const maxFaultMs = 3 * loanTtlMs

/** Number of tokens that no VM exceeds. */
const allTokens = 100

/** Maximum relative error of a VM's clock rate; below the error for which the mechanism compensates. */
const greatestClockError = 0.0001

type Step = { act: (world: ShareWorld) => void }

// Creates a step that is printed as its name and arguments in a counterexample.
const step = <Args>(name: string, args: fc.Arbitrary<Args>, act: (world: ShareWorld, args: Args) => void) =>
  args.map((given): Step => {
    const described = { act: (world: ShareWorld) => act(world, given) }
    return Object.assign(described, { [fc.toStringMethod]: () => `${name} ${fc.stringify(given)}` })
  })

// Uniform values; those of fc.double lie mostly near 0.
const upTo = (max: number) => fc.nat({ max: 1000 }).map(thousandths => max * thousandths / 1000)
const oneIn = (count: number) => fc.nat({ max: count - 1 }).map(roll => roll === 0)

const vm = fc.nat({ max: 8 })
const learnDelaysMs = fc.array(fc.nat({ max: maxLearnDelayMs }), { minLength: 3, maxLength: 3 })
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
  isReplyDoubled: oneIn(10)
})

const askAll = (world: ShareWorld, borrower: number, asked: AskPlan) => {
  for (let peer = 0; peer < world.vmCount(); peer++) world.ask(borrower, peer, asked)
}

const drainAll = (world: ShareWorld) => {
  for (let index = 0; index < world.vmCount(); index++) world.take(index, allTokens)
}

const waitMs = fc.record({ ms: fc.oneof(fc.nat({ max: 20 }), fc.nat({ max: 2 * loanTtlMs })) })
const wait = step('wait', waitMs, (world, { ms }) => world.advance(ms))

const takeArgs = fc.record({ vm, upTo: fc.integer({ min: 1, max: 40 }) })
const take = step('take', takeArgs, (world, args) => world.take(args.vm, args.upTo))

const ask = step('ask', fc.record({ vm, peer: vm, plan }), (world, args) => world.ask(args.vm, args.peer, args.plan))

const rush = step('rush', fc.record({ vm, ms: fc.nat({ max: 1200 }), plan }), (world, args) => {
  askAll(world, args.vm, args.plan)
  world.advance(args.ms)
  drainAll(world)
})

// All VMs consume their tokens just before and just after tokens in transit arrive.
const flight = step('flight', fc.record({ vm, ms: fc.nat({ max: 900 }), plan }), (world, args) => {
  askAll(world, args.vm, { ...args.plan, requestDelayMs: 1, replyDelayMs: args.ms })
  world.advance(args.ms)
  drainAll(world)
  world.advance(1)
  drainAll(world)
})

// One VM repeatedly consumes all its tokens; the others update their shares only afterwards.
const pressArgs = fc.record({ vm, rounds: fc.nat({ max: 12 }), everyMs: fc.nat({ max: 150 }), plan })
const press = step('press', pressArgs, (world, args) => {
  drainAll(world)
  askAll(world, args.vm, { ...args.plan, requestDelayMs: 0, replyDelayMs: 1 })
  for (let round = 0; round < args.rounds; round++) {
    world.advance(args.everyMs)
    world.take(args.vm, allTokens)
  }
  drainAll(world)
})

// A loan expires while its renewal is in flight; all VMs consume their tokens just before and just after the expiry.
const lateRenewalArgs = fc.record({ vm, leadMs: fc.integer({ min: 1, max: 40 }), plan, renewal: plan })
const lateRenewal = step('lateRenewal', lateRenewalArgs, (world, args) => {
  askAll(world, args.vm, { ...args.plan, requestDelayMs: 0, replyDelayMs: 1 })
  world.advance(args.plan.ttlMs - args.leadMs)
  askAll(world, args.vm, { ...args.renewal, requestDelayMs: 0, replyDelayMs: args.leadMs + 1 })
  world.advance(args.leadMs - 1)
  drainAll(world)
  world.advance(3)
  drainAll(world)
})

const changeArgs = fc.record({ ratePerSec, secondsOfBurst, delaysMs: learnDelaysMs })
const changeLimit = step('changeLimit', changeArgs, (world, args) =>
  world.changeLimit(args.ratePerSec, burstOf(args.ratePerSec, args.secondsOfBurst), args.delaysMs))

const pauseArgs = fc.record({ vm, ms: fc.integer({ min: 1, max: maxFaultMs }), clockStops: fc.boolean() })
const pause = step('pause', pauseArgs, (world, args) => world.pause(args.vm, args.ms, args.clockStops))

const cutArgs = fc.record({ one: vm, other: vm, ms: fc.nat({ max: maxFaultMs }) })
const cut = step('cut', cutArgs, (world, args) => world.cut(args.one, args.other, args.ms))

const killAndRestart = step('killAndRestart', vm, (world, index) => {
  world.kill(index)
  world.restart(index)
})

const removeArgs = fc.record({ vm, delaysMs: learnDelaysMs })
const fault = fc.oneof(
  killAndRestart,
  pause,
  cut,
  changeLimit,
  step('kill', vm, (world, index) => world.kill(index)),
  step('restart', vm, (world, index) => world.restart(index)),
  step('giveUpAsks', vm, (world, index) => world.giveUpAsks(index)),
  step('addVm', learnDelaysMs, (world, delaysMs) => world.addVm(delaysMs)),
  step('removeDead', removeArgs, (world, args) => world.removeDead(args.vm, args.delaysMs))
)

// A VM borrows from all others, faults occur, and later all VMs consume their tokens.
const failingLoanArgs = fc.record({
  vm,
  plan,
  heldMs: fc.nat({ max: loanTtlMs }),
  faults: fc.array(fault, { minLength: 1, maxLength: 3 }),
  laterMs: fc.nat({ max: maxFaultMs })
})
const failingLoan = step('failingLoan', failingLoanArgs, (world, args) => {
  askAll(world, args.vm, { ...args.plan, requestDelayMs: 1, replyDelayMs: 1 })
  world.advance(args.heldMs)
  for (const { act } of args.faults) act(world)
  world.advance(args.laterMs)
  drainAll(world)
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
    upTo(2 * greatestClockError).map(error => error - greatestClockError), { minLength: 3, maxLength: 3 }),
  seesPauseBy: fc.constantFrom('wallClock' as const, 'expireLoans' as const),
  steps: fc.array(anyStep, { minLength: minSteps, maxLength: maxSteps, size: 'max' })
})

/** One history. */
export type ShareHistory = typeof shareHistories extends fc.Arbitrary<infer History> ? History : never

/** Result of a history. */
export type HistoryOutcome = { admitted: number, excess: BoundExcess | undefined }

/** Runs a history, with the intact mechanism or with injected defects. */
export const runShareHistory = (history: ShareHistory, broken: BrokenWays = {}): HistoryOutcome => {
  const { steps, ...options } = history
  const burst = burstOf(history.ratePerSec, history.secondsOfBurst)
  const world = createShareWorld({ ...options, burst, broken })
  for (const { act } of steps) act(world)
  return { admitted: world.admitted(), excess: world.excess() }
}
