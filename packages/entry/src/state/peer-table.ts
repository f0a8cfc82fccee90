/**
 * Latest heartbeat reports of this VM's peers, by name. The number of reports is bounded by the roster.
 */

/** Age that means "unknown" in heartbeat messages. */
export const unknownAgeMs = 4_294_967_295

/** Latest report of one peer. Times are on this VM's monotonic clock, in milliseconds. */
export type PeerReport = {
  vm: string
  incarnation: number
  /** Send time of the heartbeat request that this report answers. */
  sentAtMs: number
  knownRevision: number
  /** Time at which the platform request was sent that confirmed `knownRevision` as newest; -Infinity: unknown. */
  confirmedAtMs: number
  starting: boolean
  draining: boolean
  configVersion: number
  slotCount: number
}

/** Latest report of each peer, and the newest observed incarnation of each VM name. */
export type PeerTable = {
  recordReport: (report: PeerReport) => void
  /** Records an incarnation, which may come from any kind of message. */
  recordIncarnation: (vm: string, incarnation: number) => void
  report: (vm: string) => PeerReport | undefined
  reports: () => PeerReport[]
  newestIncarnation: (vm: string) => number
  /** Removes the reports of peers that are not in the list. */
  retain: (vms: readonly string[]) => void
}

/** Maximum number of peers in the table. */
export const maxPeers = 10_000

/** Creates an empty table. */
export const createPeerTable = (): PeerTable => {
  const reports = new Map<string, PeerReport>()
  const incarnations = new Map<string, number>()

  const recordIncarnation = (vm: string, incarnation: number) => {
    if (!incarnations.has(vm) && incarnations.size >= maxPeers) return
    incarnations.set(vm, Math.max(incarnation, incarnations.get(vm) ?? 0))
  }

  const recordReport = (report: PeerReport) => {
    recordIncarnation(report.vm, report.incarnation)
    if (report.incarnation < (incarnations.get(report.vm) ?? 0)) return
    const previous = reports.get(report.vm)
    if (previous && previous.incarnation === report.incarnation && previous.sentAtMs > report.sentAtMs) return
    if (!previous && reports.size >= maxPeers) return
    reports.set(report.vm, report)
  }

  const retain = (vms: readonly string[]) => {
    const retained = new Set(vms)
    for (const vm of reports.keys()) {
      if (!retained.has(vm)) reports.delete(vm)
    }
  }

  return {
    recordReport,
    recordIncarnation,
    report: vm => reports.get(vm),
    reports: () => [...reports.values()],
    newestIncarnation: vm => incarnations.get(vm) ?? 0,
    retain
  }
}
