/**
 * Rendezvous hashing: all VMs rank the members for a key in the same order, and removing a member moves only the keys
 * that it ranked first for.
 */
import { createHash } from 'node:crypto'

const scoreOf = (key: string, member: string) =>
  createHash('sha256').update(JSON.stringify([key, member])).digest().readUIntBE(0, 6)

/** The members in the order of their scores for the key, highest first. */
export const rankByRendezvous = (key: string, members: readonly string[]): string[] => members
  .map(member => ({ member, score: scoreOf(key, member) }))
  .sort((one, other) => other.score - one.score || (one.member < other.member ? -1 : 1))
  .map(({ member }) => member)
