/**
 * Simulation of a few VMs with one limit, for the property test of the share mechanism: each VM has its own clocks and
 * a token share, and messages between them are lost, delayed and duplicated. Loan requests and loans are arbitrary,
 * because the bound must not depend on a policy.
 */
import { createOwnShare } from '../own-share.js'
import type { OwnShare } from '../own-share.js'
import { createTokenShare } from '../token-share.js'
import type { Loan, LoanTerms, PendingRequest, RateLimit, TokenShare } from '../token-share.js'
import { createBoundChecker } from './bound-checker.js'
import type { BoundExcess } from './bound-checker.js'

/** Maximum duration of loans and margin in the simulation, in milliseconds. */
export const loanTtlMs = 1000
export const loanMarginMs = 100

/** Defects that can be injected into the mechanism, to prove that the checker detects them. */
export type InjectedDefects = {
  /** A lender stops counting a loan as soon as it has granted it. */
  lenderIgnoresLoans?: boolean
  /** A restarted VM owns its whole share at once. */
  noStartupHold?: boolean
  /** A borrower measures the duration of a loan from the arrival of the reply instead of the sending of the request. */
  loanStartsAtReply?: boolean
  /** A VM does not detect that its monotonic clock stopped during a pause. */
  pauseUndetected?: boolean
  /** A member is added before the others have adopted the larger slot count. */
  memberAddedAtOnce?: boolean
  /** A borrower reserves no capacity for tokens in transit. */
  noReservation?: boolean
}

/** Options of a simulation. */
export type ShareSimulationOptions = {
  vmCount: number
  ratePerSec: number
  burst: number
  /** Relative rate errors of the VMs' monotonic clocks. */
  clockErrors: number[]
  /** How a VM detects that its monotonic clock stopped: by its wall clock, or by `expireLoans` on resumption. */
  pauseDetection: 'wallClock' | 'expireLoans'
  defects?: InjectedDefects
}

/** A loan request, and the delays, loss and duplication of its messages. */
export type RequestPlan = {
  tokensWanted: number
  fractionWanted: number
  ttlMs: number
  requestDelayMs: number
  replyDelayMs: number
  isReplyLost: boolean
  isReplyDuplicated: boolean
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
export type ShareSimulation = {
  vmCount: () => number
  advance: (ms: number) => void
  consume: (vm: number, upTo: number) => void
  requestLoan: (vm: number, peer: number, plan: RequestPlan) => void
  cancelRequests: (vm: number) => void
  kill: (vm: number) => void
  restart: (vm: number) => void
  pause: (vm: number, ms: number, clockStops: boolean) => void
  partition: (one: number, other: number, ms: number) => void
  /** Changes the definition of the limit; each VM applies it after its delay. */
  changeLimit: (ratePerSec: number, burst: number, applyDelaysMs: number[]) => void
  /** Adds a member, which gets its slot after all others have adopted the larger slot count. */
  addVm: (applyDelaysMs: number[]) => void
  /** Removes a killed member; the others adopt the smaller slot count. */
  removeKilled: (vm: number, applyDelaysMs: number[]) => void
  admitted: () => number
  excess: () => BoundExcess | undefined
}

/** Maximum number of VMs in a simulation. */
const maxVms = 9

/** Creates a simulation of VMs that have never run before. */
export const createShareSimulation = (options: ShareSimulationOptions): ShareSimulation => {
  const { vmCount, ratePerSec, burst, clockErrors, pauseDetection, defects = {} } = options
  let nowMs = 0
  let limit: RateLimit = { name: 'limit', ratePerSec, burst, version: 1 }
  let admitted = 0
  let createdVms = 0
  let slotCount = vmCount
  let checkSlots = () => {}
  const vms: Vm[] = []
  const pendingRequests = new Map<Vm, Set<PendingRequest>>()
  const partitions: Array<{ one: Vm, other: Vm, untilMs: number }> = []
  let deliveries: Delivery[] = []
  const checker = createBoundChecker({ ratePerSec, burst })

  const monotonicOf = (vm: Vm) => ((vm.stoppedSinceMs ?? nowMs) - vm.stoppedForMs) * vm.clockRate

  const startShare = (vm: Vm, startupHold: boolean) => {
    const clock = () => monotonicOf(vm)
    const hasWallClock = pauseDetection === 'wallClock' && !defects.pauseUndetected
    const wallClock = hasWallClock ? () => nowMs : () => 0
    const times = { clock, wallClock, loanTtlMs, loanMarginMs: defects.lenderIgnoresLoans ? -loanTtlMs : loanMarginMs }
    vm.own = createOwnShare({ clock, startupHold, growthDelayMs: loanTtlMs + loanMarginMs })
    vm.share = createTokenShare(limit, { ...times, startsFull: !startupHold })
    vm.limit = limit
    pendingRequests.set(vm, new Set())
  }

  const applyOwn = (vm: Vm) => vm.share.setOwnFraction(vm.own.current())

  const adoptSlotCount = (vm: Vm, slots: number) => {
    vm.slotCount = slots
    vm.own.set(1 / slots)
    applyOwn(vm)
  }

  const updateBound = () => {
    const activeLimits = vms.filter(({ isAlive }) => isAlive).map(vm => vm.limit)
    checker.setBound(nowMs, {
      ratePerSec: Math.max(...activeLimits.map(activeLimit => activeLimit.ratePerSec)),
      burst: Math.max(...activeLimits.map(activeLimit => activeLimit.burst))
    })
  }

  const createVm = (startupHold: boolean) => {
    const clockRate = 1 + (clockErrors[vms.length % clockErrors.length] ?? 0)
    const state = { isAlive: true, pausedUntilMs: 0, stoppedForMs: 0, stoppedSinceMs: undefined, incarnation: 1 }
    createdVms++
    const vm = { name: `vm${createdVms}`, ...state, clockRate, slotCount: 0, limit } as Vm
    vms.push(vm)
    startShare(vm, startupHold)
    updateBound()
    return vm
  }

  const isRunning = (vm: Vm) => vm.isAlive && vm.pausedUntilMs <= nowMs

  const schedule = (to: Vm, delayMs: number, deliver: () => void) => {
    deliveries.push({ atMs: nowMs + delayMs, to, incarnation: to.incarnation, deliver })
  }

  const resume = (vm: Vm) => {
    if (vm.stoppedSinceMs === undefined || vm.pausedUntilMs > nowMs) return
    vm.stoppedForMs += nowMs - vm.stoppedSinceMs
    vm.stoppedSinceMs = undefined
    if (pauseDetection === 'expireLoans' && !defects.pauseUndetected) vm.share.expireLoans()
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

  const advanceTo = (atMs: number) => {
    const resumptions = vms.map(vm => vm.pausedUntilMs).filter(resumeMs => resumeMs > nowMs && resumeMs <= atMs)
    for (const resumeMs of resumptions.sort((one, other) => one - other)) {
      nowMs = resumeMs
      vms.forEach(resume)
    }
    nowMs = Math.max(nowMs, atMs)
  }

  const advance = (ms: number) => {
    const untilMs = nowMs + ms
    for (let next = nextDelivery(untilMs); next !== undefined; next = nextDelivery(untilMs)) {
      const { to, incarnation, deliver, atMs } = next
      deliveries = deliveries.filter(delivery => delivery !== next)
      advanceTo(Math.max(atMs, to.pausedUntilMs))
      if (to.isAlive && to.incarnation === incarnation) deliver()
    }
    advanceTo(untilMs)
  }

  const consume = (index: number, upTo: number) => {
    const vm = vms[index % vms.length]
    if (!isRunning(vm)) return
    applyOwn(vm)
    for (let consumed = 0; consumed < upTo && vm.share.tryAcquire(); consumed++) {
      admitted++
      checker.admit(nowMs)
    }
  }

  const isPartitioned = (one: Vm, other: Vm) => partitions.some(({ untilMs, ...members }) =>
    untilMs > nowMs && [members.one, members.other].includes(one) && [members.one, members.other].includes(other))

  const applyReply = (vm: Vm, pending: PendingRequest, loan: Loan) => {
    if (defects.loanStartsAtReply) pending.sentAtMs = monotonicOf(vm)
    if (defects.loanStartsAtReply) pending.sentAtWallMs = nowMs
    if (defects.noReservation) pending.reservedTokens = Infinity
    applyOwn(vm)
    vm.share.accept(pending, loan)
    pendingRequests.get(vm)?.delete(pending)
  }

  const handleRequest = (
    vm: Vm, peer: Vm, pending: PendingRequest, terms: LoanTerms, version: number, plan: RequestPlan
  ) => {
    if (peer.limit.version !== version) return
    applyOwn(peer)
    const loan = peer.share.lend(terms)
    if (plan.isReplyLost || isPartitioned(vm, peer)) return
    schedule(vm, plan.replyDelayMs, () => applyReply(vm, pending, loan))
    if (plan.isReplyDuplicated) schedule(vm, 2 * plan.replyDelayMs, () => applyReply(vm, pending, loan))
  }

  const requestLoan = (index: number, peerIndex: number, plan: RequestPlan) => {
    const vm = vms[index % vms.length]
    const peer = vms[peerIndex % vms.length]
    if (vm === peer || !isRunning(vm) || isPartitioned(vm, peer)) return
    applyOwn(vm)
    const pending = vm.share.beginRequest(peer.name, plan.tokensWanted, plan.ttlMs)
    pendingRequests.get(vm)?.add(pending)
    if (defects.noReservation) pending.reservedTokens = 0
    const { tokensWanted, fractionWanted, ttlMs } = plan
    const borrower = `${vm.name}/${vm.incarnation}`
    const terms = { borrower, tokensWanted, fractionWanted, loanTtlMs: ttlMs, keepTokens: 0, keepFraction: 0 }
    const { version } = vm.limit
    schedule(peer, plan.requestDelayMs, () => handleRequest(vm, peer, pending, terms, version, plan))
  }

  const cancelRequests = (index: number) => {
    const vm = vms[index % vms.length]
    for (const pending of pendingRequests.get(vm) ?? []) vm.share.cancel(pending)
    pendingRequests.get(vm)?.clear()
  }

  const kill = (index: number) => {
    const vm = vms[index % vms.length]
    if (vms.filter(({ isAlive }) => isAlive).length < 2) return
    vm.isAlive = false
    updateBound()
  }

  const restart = (index: number) => {
    const vm = vms[index % vms.length]
    if (vm.isAlive) return
    Object.assign(vm, { isAlive: true, incarnation: vm.incarnation + 1, pausedUntilMs: 0 })
    resume(vm)
    startShare(vm, !defects.noStartupHold)
    adoptSlotCount(vm, slotCount)
    updateBound()
    checkSlots()
  }

  const pause = (index: number, ms: number, clockStops: boolean) => {
    const vm = vms[index % vms.length]
    if (!isRunning(vm)) return
    vm.pausedUntilMs = nowMs + ms
    if (clockStops) vm.stoppedSinceMs = nowMs
  }

  const partition = (one: number, other: number, ms: number) => {
    partitions.push({ one: vms[one % vms.length], other: vms[other % vms.length], untilMs: nowMs + ms })
  }

  const changeLimit = (nextRate: number, nextBurst: number, delaysMs: number[]) => {
    const next = { name: 'limit', ratePerSec: nextRate, burst: nextBurst, version: limit.version + 1 }
    limit = next
    vms.forEach((vm, index) => schedule(vm, delaysMs[index % delaysMs.length], () => {
      if (vm.limit.version >= next.version) return
      vm.share.setLimit(next)
      vm.limit = next
      updateBound()
    }))
  }

  // Calls `whenAll` once every running VM uses at least the slot count; killed VMs adopt it when they restart.
  const propagateSlotCount = (slots: number, delaysMs: number[], whenAll: () => void) => {
    const existing = [...vms]
    checkSlots = () => {
      if (existing.every(vm => !vm.isAlive || vm.slotCount >= slots)) whenAll()
    }
    existing.forEach((vm, index) => schedule(vm, delaysMs[index % delaysMs.length], () => {
      adoptSlotCount(vm, Math.max(slots, vm.slotCount))
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
      adoptSlotCount(createVm(true), slots)
    }
    if (defects.memberAddedAtOnce) add()
    propagateSlotCount(slots, delaysMs, add)
  }

  const removeKilled = (index: number, delaysMs: number[]) => {
    const vm = vms[index % vms.length]
    if (vm.isAlive || vms.length < 3 || slotCount !== vms.length) return
    vms.splice(vms.indexOf(vm), 1)
    slotCount = vms.length
    const slots = slotCount
    vms.forEach((other, position) => schedule(other, delaysMs[position % delaysMs.length], () => {
      if (slots === slotCount) adoptSlotCount(other, slots)
    }))
  }

  for (let index = 0; index < vmCount; index++) adoptSlotCount(createVm(false), vmCount)

  return {
    vmCount: () => vms.length,
    advance,
    consume,
    requestLoan,
    cancelRequests,
    kill,
    restart,
    pause,
    partition,
    changeLimit,
    addVm,
    removeKilled,
    admitted: () => admitted,
    excess: checker.excess
  }
}
