/**
 * Contact: whether this VM's copy of the platform's records is recently confirmed as current.
 *
 * A VM is in contact while it has applied every revision that it has heard of, and one of the following is younger
 * than the contact TTL: a confirmation by the platform, received directly or through peers, with the ages added up;
 * or heartbeat replies of a majority of the roster, none of which reports a newer revision. The second condition keeps
 * the fleet serving while the platform is unreachable. It is safe for terms, because a promotion waits until a
 * majority knows of it, and any two majorities have a VM in common.
 */
import type { Clock } from '@egretyoke/common'
import type { PeerTable } from '../state/peer-table.js'

/** Reason why the VM is in contact, or why it is not. */
export type ContactBasis =
  | 'platform'
  | 'peers'
  | 'majority'
  | 'starting'
  | 'superseded'
  | 'newerRevision'
  | 'notListed'
  | 'silence'

/** Contact state of this VM. */
export type Contact = {
  isInContact: () => boolean
  basis: () => ContactBasis
  /** Age of the newest confirmation by the platform in milliseconds; Infinity if there is none. */
  confirmedAgeMs: () => number
  /** Records that a platform request sent at the given time succeeded and that all records in its reply are applied. */
  recordPlatformConfirmation: (sentAtMs: number) => void
  /** Records that another process has seen the revision. Contact is lost until this VM has applied it too. */
  recordRevision: (revision: number) => void
  /** Newest revision that this VM has heard of, whether it has been applied or not. */
  newestObservedRevision: () => number
  /** Ends the startup phase, after the state has been loaded. */
  completeStartup: () => void
  isStarting: () => boolean
  /** Invalidates all confirmations received so far, because the host was paused. */
  expire: () => void
}

/** Dependencies of contact. */
export type ContactOptions = {
  vm: string
  incarnation: () => number
  ttlMs: number
  clock: Clock
  peers: PeerTable
  knownRevision: () => number
  rosterNames: () => readonly string[]
}

/** Number of VMs that form a majority of a roster. */
export const majorityOf = (rosterSize: number): number => Math.floor(rosterSize / 2) + 1

/** Creates the contact state of a VM that has just started. */
export const createContact = (options: ContactOptions): Contact => {
  const { peers, clock } = options
  let platformPolledAtMs = -Infinity
  let newestObserved = 0
  let starting = true
  let invalidBeforeMs = -Infinity

  /** Latest time at which the platform is known to have had no revision newer than those applied here. */
  const confirmedAtMs = (): number => {
    let newest = platformPolledAtMs
    for (const report of peers.reports()) {
      if (report.starting || report.knownRevision > options.knownRevision()) continue
      newest = Math.max(newest, report.confirmedAtMs)
    }
    return newest
  }

  const freshAfterMs = () => Math.max(clock() - options.ttlMs, invalidBeforeMs)

  const hasMajority = (): boolean => {
    const roster = options.rosterNames()
    const respondingMembers = roster.filter(name => {
      if (name === options.vm) return true
      const report = peers.report(name)
      return report !== undefined && !report.starting && report.sentAtMs > freshAfterMs()
    })
    return respondingMembers.length >= majorityOf(roster.length)
  }

  const basis = (): ContactBasis => {
    if (peers.newestIncarnation(options.vm) > options.incarnation()) return 'superseded'
    if (starting) return 'starting'
    if (newestObserved > options.knownRevision()) return 'newerRevision'
    // Stewards send StopConfirming only to the VMs in the roster, so a VM outside it must not confirm writes.
    if (!options.rosterNames().includes(options.vm)) return 'notListed'
    if (platformPolledAtMs > freshAfterMs()) return 'platform'
    if (confirmedAtMs() > freshAfterMs()) return 'peers'
    if (hasMajority()) return 'majority'
    return 'silence'
  }

  const contactBases: readonly ContactBasis[] = ['platform', 'peers', 'majority']

  return {
    isInContact: () => contactBases.includes(basis()),
    basis,
    confirmedAgeMs: () => clock() - confirmedAtMs(),
    recordPlatformConfirmation: sentAtMs => { platformPolledAtMs = Math.max(platformPolledAtMs, sentAtMs) },
    recordRevision: revision => { newestObserved = Math.max(newestObserved, revision) },
    newestObservedRevision: () => Math.max(newestObserved, options.knownRevision()),
    completeStartup: () => { starting = false },
    isStarting: () => starting,
    expire: () => {
      platformPolledAtMs = -Infinity
      invalidBeforeMs = clock()
    }
  }
}
