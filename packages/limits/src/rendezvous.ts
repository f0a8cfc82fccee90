/**
 * Rendezvous hashing: all VMs rank the members for a key in the same order, and removing a member moves only the keys
 * that it ranked first for. With weights, a member ranks first for a share of the keys in proportion to its weight.
 */
import { createHash } from 'node:crypto'

const scoreBytes = 6
const scoreRange = 2 ** (8 * scoreBytes)

const scoreOf = (key: string, member: string) =>
  createHash('sha256').update(JSON.stringify([key, member])).digest().readUIntBE(0, scoreBytes)

/** Half a step is added because the logarithm of 0 is infinite. */
const weightedScore = (score: number, weight: number) => -weight / Math.log((score + 0.5) / scoreRange)

/** Positive weights of members, by name. */
export type RendezvousWeights = ReadonlyMap<string, number>

/**
 * The members in the order of their scores for the key, highest first. A member without a weight has weight 1. Equal
 * weights do not change the order.
 */
export const rankByRendezvous = (
  key: string, members: readonly string[], weights: RendezvousWeights = new Map()
): string[] => {
  const weightOf = (member: string) => weights.get(member) ?? 1
  // The scores themselves are compared then, so that rounding cannot change the order.
  const isWeighted = members.some(member => weightOf(member) !== weightOf(members[0]))
  return members
    .map(member => {
      const score = scoreOf(key, member)
      return { member, score: isWeighted ? weightedScore(score, weightOf(member)) : score }
    })
    .sort((one, other) => other.score - one.score || (one.member < other.member ? -1 : 1))
    .map(({ member }) => member)
}
