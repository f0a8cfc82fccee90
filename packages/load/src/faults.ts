/**
 * Faults of an experiment or demo: their schema, and their injection into a running fleet.
 */
import { monotonicMs, sleepMs } from '@egretyoke/common'
import type { DatabaseFault, Fleet, LinkFault, PlatformFault } from '@egretyoke/testbed'
import { z } from 'zod'
import { findPrimary, findStewardVm } from './fleet-roles.js'
import type { RunEvents } from './measures.js'

/** Time of the fault, as a fraction of the run's planned length. */
const at = z.number().min(0).max(1)

/**
 * Name of a program, or `primary:GROUP`, `replica:GROUP` or `steward:GROUP` for the program that has this role at the
 * time of the fault. With the prefix `same:`, the program that an earlier fault of the run found in this role.
 */
const target = z.string().min(1)

const databaseFaultSchema = z.strictObject({
  replicationLagMs: z.number().min(0).optional(),
  loseAnswers: z.number().min(0).max(1).optional(),
  decline: z.number().min(0).max(1).optional(),
  delayMs: z.number().min(0).optional(),
  stopReplication: z.boolean().optional()
})

const platformFaultSchema = z.strictObject({
  down: z.boolean().optional(),
  delayMs: z.number().min(0).optional(),
  loseSwapAnswers: z.number().min(0).max(1).optional(),
  skipWatchMessages: z.number().min(0).max(1).optional(),
  vmListLagMs: z.number().min(0).optional()
})

const linkFaultSchema = z.strictObject({
  cut: z.boolean().optional(),
  frozen: z.boolean().optional(),
  delayMs: z.number().min(0).optional()
})

/** Schema of one fault. */
export const faultSchema = z.discriminatedUnion('do', [
  z.strictObject({ at, do: z.literal('kill'), target }),
  z.strictObject({ at, do: z.literal('freeze'), target }),
  z.strictObject({ at, do: z.literal('thaw'), target }),
  z.strictObject({ at, do: z.literal('terminate'), target }),
  z.strictObject({ at, do: z.literal('restart'), target }),
  z.strictObject({ at, do: z.literal('databaseFault'), target, fault: databaseFaultSchema }),
  z.strictObject({ at, do: z.literal('platformFault'), fault: platformFaultSchema }),
  z.strictObject({ at, do: z.literal('linkFault'), target, fault: linkFaultSchema }),
  z.strictObject({ at, do: z.literal('dataCentre'), target, state: z.enum(['in', 'out']) }),
  z.strictObject({ at, do: z.literal('leaving'), targets: z.array(z.string()) }),
  z.strictObject({ at, do: z.literal('unlisted'), targets: z.array(z.string()) })
])

/** One fault. */
export type Fault = z.infer<typeof faultSchema>

/** An injected fault; the label contains the affected program. */
export type InjectedFault = { atMs: number, label: string }

/** Time by which the window of an evacuation extends beyond the data centre's return to service. */
const returnWindowMs = 3_000

const groupOf = (fleet: Fleet, database: string): string | undefined =>
  Object.entries(fleet.configuration().groups).find(([, group]) => group.endpoints[database])?.[0]

/** Creates an injector that also records the failovers and evacuations on which measures depend. */
export const createFaultInjector = (fleet: Fleet, plannedMs: number) => {
  const resolvedTargets = new Map<string, string>()
  const injected: InjectedFault[] = []
  const failovers: RunEvents['failovers'] = []
  const dataCentreWindows: RunEvents['dataCentreWindows'] = []

  const resolveTarget = async (targetSpec: string): Promise<string> => {
    if (targetSpec.startsWith('same:')) return resolvedTargets.get(targetSpec.slice('same:'.length)) ?? targetSpec
    const [role, group] = targetSpec.split(':')
    if (group === undefined) return targetSpec
    const primary = await findPrimary(fleet, group)
    const replica = fleet.databaseNames(group).find(name => name !== primary && fleet.isRunning(name))
    const stewardVm = role === 'steward' ? await findStewardVm(fleet, group) : undefined
    const byRole: Record<string, string | undefined> = {
      primary,
      replica,
      steward: stewardVm && `steward-${stewardVm}`
    }
    const name = byRole[role]
    if (!name) throw new Error(`${targetSpec}: group "${group}" has no program in that role`)
    resolvedTargets.set(targetSpec, name)
    return name
  }

  const recordFailover = (name: string, targetSpec: string, atMs: number) => {
    const group = groupOf(fleet, name.replace(/^link-/, ''))
    if (group && targetSpec.includes('primary:')) failovers.push({ group, atMs })
  }

  const membersOf = (dataCentre: string) => ({
    vms: fleet.vms.flatMap((vm, index) => vm.dataCentre === dataCentre ? [index] : []),
    endpoints: Object.values(fleet.configuration().groups).flatMap(group => Object.entries(group.endpoints)
      .filter(([, endpoint]) => endpoint.dataCentre === dataCentre).map(([name]) => name))
  })

  const setDataCentre = async (name: string, state: 'in' | 'out', atMs: number) => {
    await fleet.applyConfiguration(draft => {
      draft.dataCentres[name].state = state
    })
    const window = dataCentreWindows.at(-1)
    if (state === 'out') dataCentreWindows.push({ fromMs: atMs, backMs: Infinity, toMs: Infinity, ...membersOf(name) })
    else if (window) Object.assign(window, { backMs: atMs, toMs: atMs + returnWindowMs })
  }

  const inject = async (fault: Fault, atMs: number): Promise<string> => {
    if (fault.do === 'platformFault') {
      await fleet.setPlatformFault(fault.fault as PlatformFault)
      return `platform ${JSON.stringify(fault.fault)}`
    }
    if (fault.do === 'leaving') {
      await fleet.setLeaving(fault.targets)
      return `leaving ${fault.targets.join(', ') || 'nobody'}`
    }
    if (fault.do === 'unlisted') {
      await fleet.setUnlisted(fault.targets)
      return `off the list ${fault.targets.join(', ') || 'nobody'}`
    }
    if (fault.do === 'dataCentre') {
      await setDataCentre(fault.target, fault.state, atMs)
      return `${fault.target} ${fault.state}`
    }
    if (fault.do === 'linkFault') {
      const name = `link-${await resolveTarget(fault.target)}`
      await fleet.setLinkFault(name, fault.fault as LinkFault)
      if (fault.fault.cut || fault.fault.frozen) recordFailover(name, fault.target, atMs)
      return `${name} ${JSON.stringify(fault.fault)}`
    }
    const name = await resolveTarget(fault.target)
    if (fault.do === 'databaseFault') {
      await fleet.setDatabaseFault(name, fault.fault as DatabaseFault)
      return `${name} ${JSON.stringify(fault.fault)}`
    }
    if (fault.do === 'kill' || fault.do === 'freeze') recordFailover(name, fault.target, atMs)
    if (fault.do === 'terminate') fleet.terminate(name)
    else await fleet[fault.do](name)
    return `${fault.do} ${name}`
  }

  /** Injects all faults at their times; `nowMs` returns the time since the start of the run. */
  const run = async (faults: Fault[], nowMs: () => number, onFault: (fault: InjectedFault) => void) => {
    const ordered = faults.toSorted((left, right) => left.at - right.at)
    for (const fault of ordered) {
      await sleepMs(Math.max(0, fault.at * plannedMs - nowMs()))
      const atMs = nowMs()
      const label = await inject(fault, atMs)
      injected.push({ atMs, label })
      onFault({ atMs, label })
    }
  }

  return { run, injected, failovers, dataCentreWindows }
}

/** Starts a stopwatch; the returned function returns the elapsed time in milliseconds. */
export const startStopwatch = (): (() => number) => {
  const startedMs = monotonicMs()
  return () => monotonicMs() - startedMs
}
