/**
 * What a process holds, according to /proc and to its metrics.
 */
import { readdirSync, readFileSync } from 'node:fs'
import { get } from 'node:http'

const bytesPerKb = 1024

/** Resident memory of a process. */
export const residentBytes = (pid: number): number => {
  const [, kb = '0'] = /VmRSS:\s*(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8')) ?? []
  return Number(kb) * bytesPerKb
}

/** Number of open descriptors of a process. */
export const openDescriptors = (pid: number): number => readdirSync(`/proc/${pid}/fd`).length

/** Values of a metric by their labels; empty when the process does not have it. */
export const readMetric = (port: number, name: string): Promise<Map<string, number>> =>
  new Promise((resolve, reject) => {
    get({ host: '127.0.0.1', port, path: '/metrics' }, response => {
      let text = ''
      response.on('data', chunk => { text += chunk })
      response.on('end', () => {
        const samples = text.split('\n').map(line => /^(\w+)(\{.*\})? (\S+)$/.exec(line))
        const own = samples.filter(sample => sample !== null).filter(([, metric]) => metric === name)
        resolve(new Map(own.map(([, , labels = '', value]) => [labels, Number(value)])))
      })
    }).on('error', reject)
  })
