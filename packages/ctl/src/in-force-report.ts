/**
 * Waits until an accepted change is in force on every live VM, and reports the VMs on which it is not.
 */
import { exitCodes } from '@egretyoke/common'
import type { Context } from './context.js'
import type { Report } from './report.js'
import { waitForVersion } from './vm-versions.js'
import type { VmState } from './vm-versions.js'

const missingLine = (vm: VmState): string =>
  `not in force on ${vm.name}: ${vm.state ? `version ${vm.state.configVersion}` : 'no answer'}`

/** Adds the versions of the VMs to a change's report. Reports of changes that were not accepted stay unchanged. */
export const inForceReport = async (context: Context, report: Report): Promise<Report> => {
  const { outcome, version } = report.data
  if (outcome !== 'accepted' || typeof version !== 'number') return report
  const { platform, channels, log, timeouts } = context
  const target = { platform, channels, log, callTimeoutMs: timeouts.callTimeoutMs }
  const { listed, vms, missing } = await waitForVersion(target, version, timeouts.waitMs)
  const data = { ...report.data, vms: vms.length, missing: missing.map(vm => vm.name) }
  if (listed && missing.length === 0) {
    return { ...report, data, lines: [...report.lines, `in force on ${vms.length} VMs`] }
  }
  const reasons = listed ? missing.map(missingLine) : ['the list of VMs cannot be read from the platform']
  return { exitCode: exitCodes.unavailable, data, lines: [...report.lines, ...reasons] }
}
