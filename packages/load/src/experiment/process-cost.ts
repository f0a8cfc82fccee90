/**
 * Reads CPU time and memory of a fleet's processes from their `/metrics`.
 */

const cpuMetric = 'egretyoke_process_cpu_seconds_total'
const memoryMetric = 'egretyoke_process_resident_memory_bytes'
const fetchTimeoutMs = 5_000

/** CPU time since the start of a process, and its resident memory. */
export type ProcessCost = { cpuSeconds: number, memoryBytes: number }

/** Reads all metrics of a process; keys are sample names including labels. */
export const readMetrics = async (healthAddress: string): Promise<Map<string, number>> => {
  const response = await fetch(`http://${healthAddress}/metrics`, { signal: AbortSignal.timeout(fetchTimeoutMs) })
  const lines = (await response.text()).split('\n').filter(line => line !== '' && !line.startsWith('#'))
  return new Map(lines.map(line => {
    const space = line.lastIndexOf(' ')
    return [line.slice(0, space), Number(line.slice(space + 1))]
  }))
}

/** Reads the CPU time and memory of a process; NaN for a missing metric. */
export const readProcessCost = async (healthAddress: string): Promise<ProcessCost> => {
  const metrics = await readMetrics(healthAddress)
  return { cpuSeconds: metrics.get(cpuMetric) ?? NaN, memoryBytes: metrics.get(memoryMetric) ?? NaN }
}

/** Returns the median; of an even number of values, the upper of the two middle ones. */
export const median = (values: number[]): number => values.toSorted((left, right) => left - right)[values.length >> 1]
