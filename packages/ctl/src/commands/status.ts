/**
 * `status`: shows the configuration version in force, data centres, groups and VMs.
 */
import { exitCodes, ticks } from '@egretyoke/common'
import { decodeRecord, groupRecordSchema, storeKeys } from '@egretyoke/config'
import type { Configuration, GroupRecord } from '@egretyoke/config'
import { configurationOf, readStoredConfiguration } from '@egretyoke/fleet'
import type { Context } from '../context.js'
import { readErrorReport } from '../report.js'
import type { Report } from '../report.js'
import { fetchVmStates, hasVersion } from '../vm-versions.js'
import type { VmState } from '../vm-versions.js'

const watchIntervalMs = 2000
const unknownAgeMs = 4_294_967_295

type GroupStatus = { group: string, term: number, primary: string, phase: string }

const readGroups = async (context: Context, groups: string[]): Promise<GroupStatus[]> => {
  const range = await context.platform.range(storeKeys.groupPrefix, 0, context.timeouts.callTimeoutMs)
  const records = new Map<string, GroupRecord>()
  for (const entry of range.ok ? range.val.entries : []) {
    const record = decodeRecord(entry.key, entry.value, groupRecordSchema)
    if (!entry.deleted && record.ok) records.set(entry.key.slice(storeKeys.groupPrefix.length), record.val)
  }
  return groups.map(group => {
    const { term, primary, phase } = records.get(group) ?? { term: 0, primary: '', phase: 'unknown' }
    return { group, term, primary, phase }
  })
}

const vmStatus = (vm: VmState, version: number) => ({
  name: vm.name,
  dataCentre: vm.dataCentre,
  answers: vm.state !== undefined,
  configVersion: vm.state?.configVersion ?? null,
  isCurrent: hasVersion(vm, version),
  confirmedAgeMs: !vm.state || vm.state.confirmedAgeMs === unknownAgeMs ? null : vm.state.confirmedAgeMs,
  starting: vm.state?.starting ?? null,
  draining: vm.state?.draining ?? null,
  leaving: vm.leaving
})

const vmLine = (vm: ReturnType<typeof vmStatus>): string => {
  const notes = [vm.starting && 'starting', vm.draining && 'draining', vm.leaving && 'leaving'].filter(Boolean)
  const version = vm.answers ? `version ${vm.configVersion}` : 'no answer'
  const contact = vm.confirmedAgeMs === null ? '' : `, platform confirmed ${vm.confirmedAgeMs} ms ago`
  return `  ${vm.name} (${vm.dataCentre}): ${[version + contact, ...notes].join(', ')}`
}

const statusLines = (
  configuration: Configuration,
  groups: GroupStatus[],
  vms: Array<ReturnType<typeof vmStatus>>,
  listed: boolean
): string[] => [
  `version ${configuration.version}`,
  'data centres:',
  ...Object.entries(configuration.dataCentres).map(([name, { region, state }]) => `  ${name} (${region}): ${state}`),
  'groups:',
  ...groups.map(({ group, term, primary, phase }) => `  ${group}: term ${term}, primary ${primary || '?'}, ${phase}`),
  'VMs:',
  ...(listed ? vms.map(vmLine) : ['  the list cannot be read from the platform'])
]

/** Reports the status once. The exit code is 5 when the platform or a VM does not answer, or a VM lags behind. */
export const status = async (context: Context): Promise<Report> => {
  const { platform, timeouts, channels, log } = context
  const stored = await readStoredConfiguration(platform, timeouts.callTimeoutMs)
  if (!stored.ok) return readErrorReport(stored.val)
  const configuration = configurationOf(stored.val.head, stored.val.texts)
  if (!configuration.ok) return readErrorReport(configuration.val)
  const { version, dataCentres } = configuration.val
  const groups = await readGroups(context, Object.keys(configuration.val.groups))
  const listing = await platform.listVms(timeouts.callTimeoutMs)
  const states = listing.ok ? await fetchVmStates(listing.val, channels, log) : []
  const vms = states.map(vm => vmStatus(vm, version))
  const isHealthy = listing.ok && vms.every(vm => vm.isCurrent)
  return {
    exitCode: isHealthy ? exitCodes.ok : exitCodes.unavailable,
    data: { outcome: 'status', version, dataCentres, groups, vmsListed: listing.ok, vms },
    lines: statusLines(configuration.val, groups, vms, listing.ok)
  }
}

/** Reports the status every two seconds until the signal aborts. Each report makes seven calls to the platform. */
export async function * watchStatus (context: Context, signal: AbortSignal): AsyncGenerator<Report> {
  for await (const tick of ticks(watchIntervalMs, signal)) {
    const report = await status(context)
    yield tick === 0 ? report : { ...report, lines: ['', ...report.lines] }
  }
}
