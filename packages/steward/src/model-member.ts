/**
 * Test support: model of a database group's member for the model check, without time or network. It implements the
 * term rules of the endpoint protocol; `checksTerms: false` disables them to inject a defect.
 */
import type { TermStart } from '@egretyoke/config'
import type { ControlResponse, MemberState } from '@egretyoke/fleet'

/** A log entry with one write. */
export type ModelLogEntry = { term: number, id: string }

/** Complete state of a member. */
export type ModelMember = {
  name: string
  term: number
  fencedTerm: number
  isPrimary: boolean
  upstream: string
  log: ModelLogEntry[]
  lineage: TermStart[]
  /** Log positions that replicas have acknowledged in this term, by name. */
  acks: Record<string, number>
}

/** Creates a member in term 1 that follows `first`. */
export const createModelMember = (name: string, first: string): ModelMember => ({
  name,
  term: 1,
  fencedTerm: 0,
  isPrimary: name === first,
  upstream: first,
  log: [],
  lineage: [{ term: 1, startPosition: 0 }],
  acks: { a: 0, b: 0, c: 0 }
})

/** True while the member accepts writes: it is primary and not fenced at a higher term. */
export const canWrite = (member: ModelMember): boolean => member.isPrimary && member.fencedTerm <= member.term

/** Returns the state that the member reports. */
export const memberStateOf = (member: ModelMember): MemberState => ({
  name: member.name,
  group: 'core',
  term: member.term,
  isPrimary: canWrite(member),
  fencedTerm: member.fencedTerm,
  receivedPosition: member.log.length,
  appliedPosition: member.log.length,
  lastEntryTerm: member.log.at(-1)?.term ?? 0,
  primaryName: member.isPrimary ? member.name : member.upstream,
  lineage: [...member.lineage],
  leaving: false
})

const controlAnswer = (member: ModelMember, accepted: boolean): ControlResponse =>
  ({ accepted, reason: accepted ? '' : 'term', state: memberStateOf(member) })

/** Fences the member at a term. */
export const fenceModelMember = (member: ModelMember, term: number, checksTerms: boolean): ControlResponse => {
  if (checksTerms && term < member.fencedTerm) return controlAnswer(member, false)
  member.fencedTerm = term
  return controlAnswer(member, true)
}

/** Promotes the member to primary of a term. */
export const promoteModelMember = (member: ModelMember, term: number, checksTerms: boolean): ControlResponse => {
  if (member.isPrimary && member.term === term) return controlAnswer(member, true)
  if (checksTerms && (term < member.fencedTerm || term <= member.term)) return controlAnswer(member, false)
  Object.assign(member, { term, fencedTerm: term, isPrimary: true, acks: {} })
  member.lineage = [...member.lineage.filter(start => start.term < term), { term, startPosition: member.log.length }]
  return controlAnswer(member, true)
}

/** Makes the member follow a primary in a term. */
export const followModelMember = (
  member: ModelMember,
  term: number,
  primary: string,
  checksTerms: boolean
): ControlResponse => {
  if (checksTerms && (term < member.fencedTerm || term < member.term)) return controlAnswer(member, false)
  if (member.isPrimary && term === member.term) return controlAnswer(member, false)
  Object.assign(member, { term, isPrimary: false, upstream: primary })
  return controlAnswer(member, true)
}

/** True if replication from the primary would change the state of the member or the primary. */
export const canReplicate = (member: ModelMember, primary: ModelMember): boolean => {
  if (member.isPrimary || member.upstream !== primary.name || member.term !== primary.term) return false
  if (!canWrite(primary) || member.fencedTerm > member.term) return false
  return primary.acks[member.name] !== primary.log.length || member.lineage.at(-1)?.term !== primary.term
}

/** Copies the primary's log to the member and drops entries that are not in the primary's log. */
export const replicateModelMember = (member: ModelMember, primary: ModelMember): void => {
  if (!canReplicate(member, primary)) return
  const lastTerm = member.log.at(-1)?.term ?? 0
  const nextStart = primary.lineage.find(start => start.term > lastTerm)
  const retainedCount = Math.min(member.log.length, nextStart?.startPosition ?? primary.log.length)
  member.log = [...member.log.slice(0, retainedCount), ...primary.log.slice(retainedCount)]
  member.lineage = [...primary.lineage]
  primary.acks[member.name] = member.log.length
}
