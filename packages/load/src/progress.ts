/**
 * Prints progress to standard error: one line per second with throughput and latencies, and one line for each fault.
 */
import { latencyPercentiles } from './measures.js'
import type { InjectedFault } from './faults.js'
import type { Operation } from './history.js'

const lineIntervalMs = 1_000

/** Printer of progress lines. */
export type ProgressPrinter = ReturnType<typeof createProgressPrinter>

/** Creates a printer; its timer starts with the first operation and runs until `close`. */
export const createProgressPrinter = (write: (line: string) => void = console.error) => {
  let recent: Operation[] = []
  let timer: NodeJS.Timeout | undefined

  const printSummary = () => {
    if (recent.length === 0) return
    const done = recent.filter(operation => operation.kind === 'done')
    const [p50Ms, p99Ms] = latencyPercentiles(recent, [50, 99])
    const byReplica = done.filter(operation => operation.fromReplica).length
    const seconds = (recent.at(-1)!.receivedMs / 1_000).toFixed(0)
    write(`${seconds.padStart(4)} s  ${done.length} done, ${recent.length - done.length} not done, ` +
      `${byReplica} by replicas, p50 ${p50Ms.toFixed(1)} ms, p99 ${p99Ms.toFixed(1)} ms`)
    recent = []
  }

  const onOperation = (operation: Operation) => {
    timer ??= setInterval(printSummary, lineIntervalMs)
    recent.push(operation)
  }

  const printLine = (text: string) => write(`        ${text}`)

  return {
    onOperation,
    onFault: (fault: InjectedFault) => printLine(`at ${(fault.atMs / 1_000).toFixed(1)} s: ${fault.label}`),
    printLine,
    close: () => clearInterval(timer)
  }
}
