/**
 * `settle`: determines the outcome of a change that was reported as unsettled.
 */
import { exitCodes } from '@egretyoke/common'
import { baseVersionOf, settleChange } from '@egretyoke/fleet'
import type { Context } from '../context.js'
import { success, usageReport } from '../report.js'
import type { Report } from '../report.js'

/** Determines the outcome of a change by its id, and reports it. */
export const settle = async (context: Context, changeId: string): Promise<Report> => {
  if (baseVersionOf(changeId) === undefined) return usageReport(`"${changeId}" is not a change id`)
  const settlement = await settleChange(context.platform, changeId, context.timeouts)
  const { kind, ...details } = settlement
  const data = { outcome: kind, changeId, ...details }
  switch (settlement.kind) {
    case 'accepted':
      return success(data, [`accepted as version ${settlement.version}`])
    case 'notAccepted':
      return { exitCode: exitCodes.conflict, data, lines: ['not accepted: another change was accepted first'] }
    case 'open':
      return {
        exitCode: exitCodes.unavailable,
        data,
        lines: [`not accepted so far: version ${settlement.headVersion} is in force; the sender may still complete it`]
      }
    case 'unsettled':
      return { exitCode: exitCodes.unavailable, data, lines: [`unknown: ${settlement.message}`] }
  }
}
