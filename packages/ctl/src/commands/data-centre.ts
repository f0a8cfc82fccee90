/**
 * `data-centre out` and `data-centre in`.
 */
import { readJsonWithComments } from '@egretyoke/common'
import { documentSchemas } from '@egretyoke/config'
import type { DataCentre } from '@egretyoke/config'
import type { Context } from '../context.js'
import { editDocument } from '../edit-documents.js'
import { findingsReport, usageReport } from '../report.js'
import type { Report } from '../report.js'

const refusalOf = (text: string, name: string): Report | undefined => {
  const read = readJsonWithComments(text, 'data-centres.jsonc', documentSchemas['data-centres'])
  if (!read.ok) return findingsReport(read.val)
  const known = Object.keys(read.val.dataCentres)
  return known.includes(name) ? undefined : usageReport(`no data centre "${name}"; there are ${known.join(', ')}`)
}

/** Takes a data centre out of service, or puts it back. The last one in service cannot be taken out. */
export const setDataCentre = (context: Context, name: string, state: DataCentre['state']): Promise<Report> =>
  editDocument(context, {
    document: 'data-centres',
    path: ['dataCentres', name, 'state'],
    value: state,
    check: text => refusalOf(text, name)
  })
