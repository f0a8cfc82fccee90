/**
 * A fleet of tables on simulated time, with configurable delay and loss of the messages between them.
 */
import { silentLogger } from '@egretyoke/common'
import type { BorrowReply, BorrowRequest } from '../borrow-messages.js'
import { createSimulatedTime } from './simulated-time.js'
import type { SimulatedTime } from './simulated-time.js'

/** Maximum duration of loans and margin in simulated fleets, in milliseconds. */
const loanTtlMs = 1500
const loanMarginMs = 150

/** Time-out of a request to a peer, in milliseconds. */
const messageTimeoutMs = 100

/** Delays of one request to a peer and of its reply, and whether the reply is lost. */
export type MessageOutcome = { requestMs: number, replyMs: number, isLost: boolean }

/** Options that all tables of a fleet have in common. */
export type CommonTableOptions = {
  vm: string
  incarnation: number
  clock: SimulatedTime['clock']
  wallClock: SimulatedTime['clock']
  after: SimulatedTime['after']
  loanTtlMs: number
  loanMarginMs: number
  maxLimits: number
  log: typeof silentLogger
  sendBorrowRequest: (peer: string, request: BorrowRequest) => Promise<BorrowReply | undefined>
}

type Lender = { lend: (request: BorrowRequest) => BorrowReply, close: () => void }

/** A fleet of tables. */
export type SimulatedFleet<Table extends Lender> = {
  time: SimulatedTime
  members: string[]
  table: (vm: string) => Table
  isAlive: (vm: string) => boolean
  kill: (vm: string) => void
  /** Restarts a killed VM with a new incarnation. */
  restart: (vm: string) => void
  close: () => void
}

/** Creates a fleet; `start` creates the table of one VM, with `isRestart` false when the VM starts with the fleet. */
export const createSimulatedFleet = <Table extends Lender>(
  vmCount: number,
  start: (options: CommonTableOptions, members: string[], isRestart: boolean) => Table,
  nextOutcome: () => MessageOutcome = () => ({ requestMs: 0.5, replyMs: 0.5, isLost: false })
): SimulatedFleet<Table> => {
  const time = createSimulatedTime()
  const members = Array.from({ length: vmCount }, (_, index) => `vm${index + 1}`)
  const tables = new Map<string, Table>()
  const incarnations = new Map<string, number>()
  const sleepMs = (ms: number) => new Promise<void>(resolve => { time.after(ms, resolve) })

  const sendBorrowRequest = async (peer: string, request: BorrowRequest) => {
    const { requestMs, replyMs, isLost } = nextOutcome()
    await sleepMs(requestMs)
    const reply = tables.get(peer)?.lend(request)
    if (reply === undefined || isLost) {
      await sleepMs(messageTimeoutMs)
      return undefined
    }
    await sleepMs(replyMs)
    return reply
  }

  const startVm = (vm: string, isRestart: boolean) => {
    const incarnation = (incarnations.get(vm) ?? 0) + 1
    incarnations.set(vm, incarnation)
    const { clock, after } = time
    const options = { vm, incarnation, clock, wallClock: clock, after, loanTtlMs, loanMarginMs, maxLimits: 10 }
    tables.set(vm, start({ ...options, log: silentLogger, sendBorrowRequest }, members, isRestart))
  }

  const kill = (vm: string) => {
    tables.get(vm)?.close()
    tables.delete(vm)
  }

  for (const vm of members) startVm(vm, false)
  return {
    time,
    members,
    table: vm => tables.get(vm)!,
    isAlive: vm => tables.has(vm),
    kill,
    restart: vm => startVm(vm, true),
    close: () => members.forEach(kill)
  }
}
