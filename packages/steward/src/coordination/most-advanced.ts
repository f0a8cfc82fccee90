/**
 * Ordering of fenced members by how advanced their logs are, for the choice of the member to promote.
 */
import type { TermStart } from '@egretyoke/config'
import type { MemberState } from '@egretyoke/fleet'

/** State of a member at the time it was fenced. */
export type FencedMember = { name: string, state: MemberState, canRemainPrimary: boolean }

/**
 * Returns the newest active term whose start the member has received, or 0 if there is none. Terms that started but
 * never became active have no confirmed writes, so they are ignored.
 */
export const adoptedTerm = (state: MemberState, activeLineage: readonly TermStart[]): number => {
  const own = new Set(state.lineage.map(start => start.term))
  const adopted = activeLineage.filter(start => own.has(start.term) && state.receivedPosition >= start.startPosition)
  return adopted.at(-1)?.term ?? 0
}

/**
 * Returns a comparator that sorts the most advanced member first. Among equally advanced members, those that are not
 * being removed come first.
 */
export const byMostAdvanced = (activeLineage: readonly TermStart[]) =>
  (left: FencedMember, right: FencedMember): number =>
    adoptedTerm(right.state, activeLineage) - adoptedTerm(left.state, activeLineage) ||
    right.state.receivedPosition - left.state.receivedPosition ||
    Number(right.canRemainPrimary) - Number(left.canRemainPrimary) ||
    left.name.localeCompare(right.name)
