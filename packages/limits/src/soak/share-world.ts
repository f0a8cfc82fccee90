/**
 * Simulation of a few VMs with one limit, for the property test of the share mechanism: each VM has its own clocks and
 * a token share, and messages between them are lost, delayed and duplicated. Loan requests and loans are arbitrary,
 * because the bound must not depend on a policy.
 */
import { createOwnShare } from '../own-part.js'
import type { OwnShare } from '../own-part.js'
import { createTokenShare } from '../token-share.js'
import type { Loan, LoanTerms, PendingRequest, RateLimit, TokenShare } from '../token-share.js'
import { createBoundChecker } from './bound-checker.js'
import type { BoundExcess } from './bound-checker.js'

/** Maximum duration of loans and margin in the simulation, in milliseconds. */
export const loanTtlMs = 1000
export const loanMarginMs = 100

/** Defects that can be injected into the mechanism, to prove that the checker detects them. */
export type BrokenWays = {
  /** A lender stops counting a loan as soon as it has granted it. */
  lenderForgets?: boolean
  /** A restarted VM owns its whole share at once. */
  restartsWithoutHold?: boolean
  /** A borrower measures the duration of a loan from the arrival of the reply instead of the sending of the request. */
  borrowerCountsFromReply?: boolean
  /** A VM does not detect that its monotonic clock stopped during a pause. */
  pauseGoesUnnoticed?: boolean
  /** A member is added before the others have adopted the larger slot count. */
  slotsChangeInOneStep?: boolean
  /** A borrower reserves no capacity for tokens in transit. */
  nothingReserved?: boolean
}

/** Options of a simulation. */
export type ShareWorldOptions = {
  vmCount: number
  ratePerSec: number
  burst: number
  /** Relative rate errors of the VMs' monotonic clocks. */
  clockErrors: number[]
  /** How a VM detects that its monotonic clock stopped: by its wall clock, or by `expireLoans` on resumption. */
  seesPauseBy: 'wallClock' | 'expireLoans'
  broken?: BrokenWays
}

/** A loan request, and the delays, loss and duplication of its messages. */
export type AskPlan = {
  tokensWanted: number
  fractionWanted: number
  ttlMs: number
  requestDelayMs: number
  replyDelayMs: number
  isReplyLost: boolean
  isReplyDoubled: boolean
}

type Vm = {
  name: string
  incarnation: number
  isAlive: boolean
  pausedUntilMs: number
  /** Total time for which the monotonic clock was stopped, in milliseconds. */
  stoppedForMs: number
  stoppedSinceMs: number | undefined
  clockRate: number
  slotCount: number
  limit: RateLimit
  own: OwnShare
  share: TokenShare
}

type Delivery = { atMs: number, to: Vm, incarnation: number, deliver: () => void }

/** A simulated fleet with one limit. */
export type ShareWorld = {
  vmCount: () => number
  advance: (ms: number) => void
  take: (vm: number, upTo: number) => void
  ask: (vm: number, peer: number, plan: AskPlan) => void
  giveUpAsks: (vm: number) => void
  kill: (vm: number) => void
  restart: (vm: number) => void
  pause: (vm: number, ms: number, clockStops: boolean) => void
  cut: (one: number, other: number, ms: number) => void
  /** Changes the definition of the limit; each VM applies it after its delay. */
  changeLimit: (ratePerSec: number, burst: number, learnDelaysMs: number[]) => void
  /** Adds a member, which gets its slot after all others have adopted the larger slot count. */
  addVm: (learnDelaysMs: number[]) => void
  /** Removes a killed member; the others adopt the smaller slot count. */
  removeDead: (vm: number, learnDelaysMs: number[]) => void
  admitted: () => number
  excess: () => BoundExcess | undefined
}

/** Maximum number of VMs in a simulation. */
const maxVms = 9

/** Creates a simulation of VMs that have never run before. */
export const createShareWorld = (options: ShareWorldOptions): ShareWorld => {
  const { vmCount, ratePerSec, burst, clockErrors, seesPauseBy, broken = {} } = options
  let nowMs = 0
  let limit: RateLimit = { name: 'limit', ratePerSec, burst, version: 1 }
  let admitted = 0
  let bornVms = 0
  let slotCount = vmCount
  let checkSlots = () => {}
  const vms: Vm[] = []
  const asks = new Map<Vm, Set<PendingRequest>>()
  const cuts: Array<{ one: Vm, other: Vm, untilMs: number }> = []
  let deliveries: Delivery[] = []
  const checker = createBoundChecker({ ratePerSec, burst })

  const monotonicOf = (vm: Vm) => ((vm.stoppedSinceMs ?? nowMs) - vm.stoppedForMs) * vm.clockRate

  const startShare = (vm: Vm, startupHold: boolean) => {
    const clock = () => monotonicOf(vm)
    const hasWallClock = seesPauseBy === 'wallClock' && !broken.pauseGoesUnnoticed
    const wallClock = hasWallClock ? () => nowMs : () => 0
    const times = { clock, wallClock, loanTtlMs, loanMarginMs: broken.lenderForgets ? -loanTtlMs : loanMarginMs }
    vm.own = createOwnShare({ clock, startupHold, growthDelayMs: loanTtlMs + loanMarginMs })
    vm.share = createTokenShare(limit, { ...times, startsFull: !startupHold })
    vm.limit = limit
    asks.set(vm, new Set())
  }

  const applyOwn = (vm: Vm) => vm.share.setOwnFraction(vm.own.current())

  const learnSlots = (vm: Vm, slots: number) => {
    vm.slotCount = slots
    vm.own.set(1 / slots)
    applyOwn(vm)
  }

  const noteBound = () => {
    const inUse = vms.filter(({ isAlive }) => isAlive).map(vm => vm.limit)
    checker.inForce(nowMs, {
      ratePerSec: Math.max(...inUse.map(used => used.ratePerSec)),
      burst: Math.max(...inUse.map(used => used.burst))
    })
  }

  const createVm = (startupHold: boolean) => {
    const clockRate = 1 + (clockErrors[vms.length % clockErrors.length] ?? 0)
    const state = { isAlive: true, pausedUntilMs: 0, stoppedForMs: 0, stoppedSinceMs: undefined, incarnation: 1 }
    bornVms++
    const vm = { name: `vm${bornVms}`, ...state, clockRate, slotCount: 0, limit } as Vm
    vms.push(vm)
    startShare(vm, startupHold)
    noteBound()
    return vm
  }

  const isRunning = (vm: Vm) => vm.isAlive && vm.pausedUntilMs <= nowMs

  const schedule = (to: Vm, delayMs: number, deliver: () => void) => {
    deliveries.push({ atMs: nowMs + delayMs, to, incarnation: to.incarnation, deliver })
  }

  const wake = (vm: Vm) => {
    if (vm.stoppedSinceMs === undefined || vm.pausedUntilMs > nowMs) return
    vm.stoppedForMs += nowMs - vm.stoppedSinceMs
    vm.stoppedSinceMs = undefined
    if (seesPauseBy === 'expireLoans' && !broken.pauseGoesUnnoticed) vm.share.expireLoans()
  }

  const nextDelivery = (untilMs: number) => {
    let next: Delivery | undefined
    for (const delivery of deliveries) {
      const atMs = Math.max(delivery.atMs, delivery.to.pausedUntilMs)
      if (atMs > untilMs) continue
      if (next === undefined || atMs < Math.max(next.atMs, next.to.pausedUntilMs)) next = delivery
    }
    return next
  }

  const moveTo = (atMs: number) => {
    const wakes = vms.map(vm => vm.pausedUntilMs).filter(wakeMs => wakeMs > nowMs && wakeMs <= atMs)
    for (const wakeMs of wakes.sort((one, other) => one - other)) {
      nowMs = wakeMs
      vms.forEach(wake)
    }
    nowMs = Math.max(nowMs, atMs)
  }

  const advance = (ms: number) => {
    const untilMs = nowMs + ms
    for (let next = nextDelivery(untilMs); next !== undefined; next = nextDelivery(untilMs)) {
      const { to, incarnation, deliver, atMs } = next
      deliveries = deliveries.filter(delivery => delivery !== next)
      moveTo(Math.max(atMs, to.pausedUntilMs))
      if (to.isAlive && to.incarnation === incarnation) deliver()
    }
    moveTo(untilMs)
  }

  const take = (index: number, upTo: number) => {
    const vm = vms[index % vms.length]
    if (!isRunning(vm)) return
    applyOwn(vm)
    for (let taken = 0; taken < upTo && vm.share.tryAcquire(); taken++) {
      admitted++
      checker.admit(nowMs)
    }
  }

  const isCut = (one: Vm, other: Vm) => cuts.some(({ untilMs, ...ends }) =>
    untilMs > nowMs && [ends.one, ends.other].includes(one) && [ends.one, ends.other].includes(other))

  const useReply = (vm: Vm, pending: PendingRequest, loan: Loan) => {
    if (broken.borrowerCountsFromReply) pending.sentAtMs = monotonicOf(vm)
    if (broken.borrowerCountsFromReply) pending.sentAtWallMs = nowMs
    if (broken.nothingReserved) pending.reservedTokens = Infinity
    applyOwn(vm)
    vm.share.accept(pending, loan)
    asks.get(vm)?.delete(pending)
  }

  const answer = (vm: Vm, peer: Vm, pending: PendingRequest, terms: LoanTerms, version: number, plan: AskPlan) => {
    if (peer.limit.version !== version) return
    applyOwn(peer)
    const loan = peer.share.lend(terms)
    if (plan.isReplyLost || isCut(vm, peer)) return
    schedule(vm, plan.replyDelayMs, () => useReply(vm, pending, loan))
    if (plan.isReplyDoubled) schedule(vm, 2 * plan.replyDelayMs, () => useReply(vm, pending, loan))
  }

  const ask = (index: number, peerIndex: number, plan: AskPlan) => {
    const vm = vms[index % vms.length]
    const peer = vms[peerIndex % vms.length]
    if (vm === peer || !isRunning(vm) || isCut(vm, peer)) return
    applyOwn(vm)
    const pending = vm.share.beginRequest(peer.name, plan.tokensWanted, plan.ttlMs)
    asks.get(vm)?.add(pending)
    if (broken.nothingReserved) pending.reservedTokens = 0
    const { tokensWanted, fractionWanted, ttlMs } = plan
    const borrower = `${vm.name}/${vm.incarnation}`
    const terms = { borrower, tokensWanted, fractionWanted, loanTtlMs: ttlMs, keepTokens: 0, keepFraction: 0 }
    const { version } = vm.limit
    schedule(peer, plan.requestDelayMs, () => answer(vm, peer, pending, terms, version, plan))
  }

  const giveUpAsks = (index: number) => {
    const vm = vms[index % vms.length]
    for (const pending of asks.get(vm) ?? []) vm.share.cancel(pending)
    asks.get(vm)?.clear()
  }

  const kill = (index: number) => {
    const vm = vms[index % vms.length]
    if (vms.filter(({ isAlive }) => isAlive).length < 2) return
    vm.isAlive = false
    noteBound()
  }

  const restart = (index: number) => {
    const vm = vms[index % vms.length]
    if (vm.isAlive) return
    Object.assign(vm, { isAlive: true, incarnation: vm.incarnation + 1, pausedUntilMs: 0 })
    wake(vm)
    startShare(vm, !broken.restartsWithoutHold)
    learnSlots(vm, slotCount)
    noteBound()
    checkSlots()
  }

  const pause = (index: number, ms: number, clockStops: boolean) => {
    const vm = vms[index % vms.length]
    if (!isRunning(vm)) return
    vm.pausedUntilMs = nowMs + ms
    if (clockStops) vm.stoppedSinceMs = nowMs
  }

  const cut = (one: number, other: number, ms: number) => {
    cuts.push({ one: vms[one % vms.length], other: vms[other % vms.length], untilMs: nowMs + ms })
  }

  const changeLimit = (nextRate: number, nextBurst: number, delaysMs: number[]) => {
    const next = { name: 'limit', ratePerSec: nextRate, burst: nextBurst, version: limit.version + 1 }
    limit = next
    vms.forEach((vm, index) => schedule(vm, delaysMs[index % delaysMs.length], () => {
      if (vm.limit.version >= next.version) return
      vm.share.setLimit(next)
      vm.limit = next
      noteBound()
    }))
  }

  // Calls `whenAll` once every running VM uses at least the slot count; killed VMs adopt it when they restart.
  const spreadSlots = (slots: number, delaysMs: number[], whenAll: () => void) => {
    const old = [...vms]
    checkSlots = () => {
      if (old.every(vm => !vm.isAlive || vm.slotCount >= slots)) whenAll()
    }
    old.forEach((vm, index) => schedule(vm, delaysMs[index % delaysMs.length], () => {
      learnSlots(vm, Math.max(slots, vm.slotCount))
      checkSlots()
    }))
  }

  const addVm = (delaysMs: number[]) => {
    if (vms.length >= maxVms || slotCount > vms.length) return
    slotCount = vms.length + 1
    const slots = slotCount
    let isAdded = false
    const add = () => {
      if (isAdded) return
      isAdded = true
      checkSlots = () => {}
      learnSlots(createVm(true), slots)
    }
    if (broken.slotsChangeInOneStep) add()
    spreadSlots(slots, delaysMs, add)
  }

  const removeDead = (index: number, delaysMs: number[]) => {
    const vm = vms[index % vms.length]
    if (vm.isAlive || vms.length < 3 || slotCount !== vms.length) return
    vms.splice(vms.indexOf(vm), 1)
    slotCount = vms.length
    const slots = slotCount
    vms.forEach((other, place) => schedule(other, delaysMs[place % delaysMs.length], () => {
      if (slots === slotCount) learnSlots(other, slots)
    }))
  }

  for (let index = 0; index < vmCount; index++) learnSlots(createVm(false), vmCount)

  return {
    vmCount: () => vms.length,
    advance,
    take,
    ask,
    giveUpAsks,
    kill,
    restart,
    pause,
    cut,
    changeLimit,
    addVm,
    removeDead,
    admitted: () => admitted,
    excess: checker.excess
  }
}
