/**
 * Test support: models of the platform, members and entries for the model check, and the invariants that must hold in
 * every state. Each call of a steward is put into a list of pending calls; the explorer chooses which one runs next.
 */
import { Err, Ok, typedError } from '@egretyoke/common'
import type { GroupRecord } from '@egretyoke/config'
import type { GroupMember, MemberError } from '@egretyoke/fleet'
import type { PromotionCalls, PromotionMember, StoredGroup } from './coordination/promotion-calls.js'
import { majorityOf } from './coordination/promotion-calls.js'
import {
  canReplicate, canWrite, createModelMember, fenceModelMember, followModelMember, promoteModelMember,
  replicateModelMember
} from './model-member.js'
import type { ModelMember } from './model-member.js'

/** Defect that is injected to test that the model check detects it. */
export type Defect =
  'none' | 'stopHasNoEffect' | 'fenceHasNoEffect' | 'noTermCheck' | 'noRevisionCheck' | 'noAdoption'

/** Configuration of the modelled fleet for one exploration. */
export type Scenario = {
  defect: Defect
  /** Names of the members that each steward can reach, one list per steward. */
  reachableMembers: string[][]
  entryCount: number
  maxWrites: number
  /** Maximum number of calls whose reply or request is lost in a run. */
  maxFaults: number
}

/** An action that can run next. Running another actor's action while the current actor has one counts as a switch. */
export type Action = { actor: string, name: string, isFault: boolean, run: () => void }

type ModelWrite = { id: string, term: number, member: string, entry: number, phase: 'sent' | 'answered' | 'over' }
type ModelEntry = { record: GroupRecord, stoppedBelowTerm: number, hasContact: boolean, refreshedAtStep: number }
type PendingCall = {
  name: string
  steward: number
  isTimeout: boolean
  complete: () => void
  /** Fails the call: only its reply is lost (`hasEffect`), or the call has no effect. */
  fail?: (hasEffect: boolean) => void
}

/** Contact expiry of the model's stewards, in milliseconds; a unique value by which this wait is recognized. */
export const modelContactExpiryMs = 7
/** Attempt timeout of the model's stewards, in milliseconds; also a unique value. */
export const modelAttemptTimeoutMs = 8

const memberNames = ['a', 'b', 'c']
const noAnswer = () => Err(typedError('noAnswer', 'lost') as MemberError)

/** Creates the modelled fleet of one run. */
export const createModelFleet = (scenario: Scenario) => {
  const { defect } = scenario
  const checksTerms = defect !== 'noTermCheck'
  const firstRecord: GroupRecord = {
    term: 1, primary: 'a', phase: 'active', lineage: [{ term: 1, startPosition: 0 }]
  }
  const members = new Map<string, ModelMember>(memberNames.map(name => [name, createModelMember(name, 'a')]))
  const entries: ModelEntry[] = Array.from({ length: scenario.entryCount }, () =>
    ({ record: firstRecord, stoppedBelowTerm: 0, hasContact: true, refreshedAtStep: 0 }))
  const stored = { value: firstRecord, revision: 1 }
  const writes: ModelWrite[] = []
  const confirmedWrites: ModelWrite[] = []
  const history: string[][] = scenario.reachableMembers.map(() => [])
  let pendingCalls: PendingCall[] = []
  let violation: string | undefined
  let faults = 0
  let stepCount = 0

  const assertInvariant = (holds: boolean, message: string) => {
    if (!holds) violation ??= message
  }

  /** Adds a pending call. When the explorer runs it, the result of `execute` becomes the reply. */
  const enqueueCall = <Reply>(
    steward: number,
    name: string,
    execute: () => Reply,
    lostReply?: () => Reply
  ): Promise<Reply> =>
      new Promise(resolve => {
        const completeCall = (reply: Reply, result: string) => {
          history[steward].push(`${name}=${result}`)
          resolve(reply)
        }
        const succeed = () => {
          const reply = execute()
          completeCall(reply, JSON.stringify(reply))
        }
        const fail = lostReply && ((hasEffect: boolean) => {
          if (hasEffect) execute()
          completeCall(lostReply(), 'lost')
        })
        pendingCalls.push({ name, steward, isTimeout: false, complete: succeed, fail })
      })

  const loseContact = (sinceStep: number) => {
    for (const entry of entries) if (entry.refreshedAtStep < sinceStep) entry.hasContact = false
  }

  const sleepMs = (steward: number) => (ms: number, signal?: AbortSignal): Promise<boolean> => new Promise(resolve => {
    if (signal?.aborted) return resolve(false)
    const startedAtStep = stepCount
    const expire = () => {
      history[steward].push(`sleep${ms}`)
      if (ms === modelContactExpiryMs) loseContact(startedAtStep)
      resolve(true)
    }
    const sleep: PendingCall =
      { name: `sleep${ms}`, steward, isTimeout: ms === modelAttemptTimeoutMs, complete: expire }
    pendingCalls.push(sleep)
    signal?.addEventListener('abort', () => {
      pendingCalls = pendingCalls.filter(other => other !== sleep)
      resolve(false)
    }, { once: true })
  })

  const checkActive = (record: GroupRecord) => {
    const { log, term } = members.get(record.primary)!
    assertInvariant(term >= record.term, `term ${record.term} is active but its primary is in term ${term}`)
    for (const write of confirmedWrites) {
      assertInvariant(log.some(entry => entry.id === write.id), `confirmed ${write.id} is not in term ${record.term}`)
    }
    for (const [index, entry] of log.entries()) {
      const dropped = record.lineage.find(start => start.term > entry.term && start.startPosition <= index)
      assertInvariant(!dropped, `${entry.id} was dropped in term ${dropped?.term} and is back in term ${record.term}`)
    }
  }

  const swapGroup = (expectedRevision: number, record: GroupRecord) => {
    const isAccepted = expectedRevision === stored.revision || defect === 'noRevisionCheck'
    if (isAccepted) {
      assertInvariant(record.term >= stored.value.term, `the record went back to term ${record.term}`)
      stored.value = record
      stored.revision++
      if (record.phase === 'active') checkActive(record)
    }
    return Ok({ swapped: isAccepted, current: { ...stored } })
  }

  const controlOf = (steward: number, name: string): GroupMember => {
    const member = members.get(name)!
    const isReachable = scenario.reachableMembers[steward].includes(name)
    // A member that the steward cannot reach never replies.
    const callMember = <Reply>(operation: string, execute: () => Reply) =>
      isReachable
        ? enqueueCall(steward, `${operation} ${name}`, () => Ok(execute()), noAnswer as never)
        : new Promise<never>(() => {})
    const fence = (term: number) => {
      if (defect === 'fenceHasNoEffect') return fenceModelMember({ ...member }, term, true)
      return fenceModelMember(member, term, checksTerms)
    }
    const follow = (term: number, primary: string) => {
      const reply = followModelMember(member, term, primary, checksTerms)
      if (defect !== 'noAdoption') replicateModelMember(member, members.get(primary)!)
      const lineage = defect === 'noAdoption' ? members.get(primary)!.lineage : member.lineage
      const receivedPosition = defect === 'noAdoption' ? Infinity : member.log.length
      return { ...reply, state: { ...reply.state, lineage: [...lineage], receivedPosition } }
    }
    return {
      getStatus: () => new Promise(() => {}),
      fence: term => callMember(`fence${term}`, () => fence(term)),
      promote: term => callMember(`promote${term}`, () => promoteModelMember(member, term, checksTerms)),
      follow: (term, primary) => callMember(`follow${term}`, () => follow(term, primary.name)),
      close: () => {}
    } as GroupMember
  }

  const stopConfirming = (index: number, term: number): boolean => {
    const entry = entries[index]
    if (defect !== 'stopHasNoEffect') entry.stoppedBelowTerm = Math.max(entry.stoppedBelowTerm, term)
    return true
  }

  /** Promotion calls of one steward. */
  const callsOf = (steward: number): PromotionCalls => ({
    readGroup: () => enqueueCall(steward, 'read', () => Ok<StoredGroup>({ ...stored }), noAnswer as never),
    swapGroup: (revision, record) =>
      enqueueCall(steward, `swap${record.term}${record.phase}`, () => swapGroup(revision, record), noAnswer as never),
    readRoster: async () => Ok({
      version: 1, members: entries.map((_, index) => ({ name: String(index), address: '-', dataCentre: 'north' }))
    }),
    isRosterStable: () => true,
    entries: {
      observe: async () => undefined,
      stopConfirming: ({ name }, { term }) =>
        enqueueCall(steward, `stop${term} ${name}`, () => stopConfirming(Number(name), term), () => false)
    },
    sleepMs: sleepMs(steward)
  })

  const membersOf = (steward: number): PromotionMember[] => memberNames.map(name => ({
    name,
    endpoint: { address: name, dataCentre: 'north', slots: 1, maxConnections: 1 },
    control: controlOf(steward, name),
    canRemainPrimary: true
  }))

  const confirm = (write: ModelWrite) => {
    write.phase = 'over'
    const entry = entries[write.entry]
    const isActive = entry.record.phase === 'active' && entry.record.term === write.term
    if (!isActive || write.term < entry.stoppedBelowTerm || !entry.hasContact) return
    confirmedWrites.push(write)
    const activeTerm = stored.value.lineage.at(-1)!.term
    const message = `${write.id} of term ${write.term} is confirmed while term ${activeTerm} is active`
    assertInvariant(activeTerm <= write.term, message)
    if (stored.value.phase === 'active') checkActive(stored.value)
  }

  const isHeldByMajority = (write: ModelWrite): boolean => {
    const primary = members.get(write.member)!
    const position = primary.log.findIndex(entry => entry.id === write.id) + 1
    const holders = Object.values(primary.acks).filter(acked => acked >= position).length + 1
    return position > 0 && canWrite(primary) && primary.term === write.term && holders >= majorityOf(members.size)
  }

  const send = (index: number) => {
    const { record } = entries[index]
    const write: ModelWrite = {
      id: `w${writes.length + 1}`, term: record.term, member: record.primary, entry: index, phase: 'sent'
    }
    writes.push(write)
    members.get(record.primary)!.log.push({ term: record.term, id: write.id })
  }

  const canSend = (entry: ModelEntry): boolean => {
    const primary = members.get(entry.record.primary)
    return writes.length < scenario.maxWrites && entry.record.phase === 'active' && entry.hasContact &&
      primary !== undefined && canWrite(primary) && primary.term === entry.record.term
  }

  const refresh = (entry: ModelEntry) => {
    entry.record = stored.value
    entry.hasContact = true
    entry.refreshedAtStep = stepCount
  }

  const clientActions = (): Action[] => {
    const action = (name: string, run: () => void): Action => ({ actor: 'clients', name, isFault: false, run })
    return [
      ...writes.filter(write => write.phase === 'answered')
        .map(write => action(`confirm ${write.id}`, () => confirm(write))),
      ...writes.filter(write => write.phase === 'sent' && isHeldByMajority(write))
        .map(write => action(`answer ${write.id}`, () => { write.phase = 'answered' })),
      ...entries.flatMap((entry, index) => canSend(entry) ? [action(`send ${index}`, () => send(index))] : []),
      ...entries.flatMap((entry, index) =>
        entry.record !== stored.value ? [action(`refresh ${index}`, () => refresh(entry))] : []),
      ...[...members.values()].flatMap(member => {
        const primary = members.get(member.upstream)!
        if (!canReplicate(member, primary)) return []
        return [action(`replicate ${member.name}`, () => replicateModelMember(member, primary))]
      })
    ]
  }

  const stewardActions = (): Action[] => pendingCalls.flatMap(pendingCall => {
    const remove = () => {
      pendingCalls = pendingCalls.filter(other => other !== pendingCall)
    }
    const action = (name: string, isFault: boolean, execute: () => void): Action =>
      ({
        actor: `steward ${pendingCall.steward}`,
        name: `${pendingCall.steward}:${name}`,
        isFault,
        run: () => { remove(); execute() }
      })
    const regular = action(pendingCall.name, pendingCall.isTimeout, pendingCall.complete)
    if (!pendingCall.fail) return [regular]
    return [
      regular,
      action(`${pendingCall.name} answer lost`, true, () => pendingCall.fail!(true)),
      action(`${pendingCall.name} dropped`, true, () => pendingCall.fail!(false))
    ]
  })

  const actions = (): Action[] => [...stewardActions(), ...clientActions()]
    .filter(action => !action.isFault || faults < scenario.maxFaults)

  const run = (action: Action) => {
    stepCount++
    if (action.isFault) faults++
    action.run()
    const primary = members.get(stored.value.primary)
    if (stored.value.phase !== 'active' || !primary) return
    const isLeading = primary.isPrimary && primary.term === stored.value.term
    assertInvariant(
      isLeading || primary.fencedTerm > stored.value.term,
      `the primary of term ${stored.value.term} was deposed`)
  }

  /** Key of the current state. States with equal keys behave alike, because stewards ignore the order of replies. */
  const stateKey = (): string => JSON.stringify([
    [...members.values()], entries.map(({ refreshedAtStep: _, ...entry }) => entry), stored, writes, faults,
    history.map(replies => [...replies].sort()),
    pendingCalls.map(({ name, steward }) => `${steward}:${name}`).sort()
  ])

  return { callsOf, membersOf, actions, run, stateKey, violation: () => violation, readStored: () => stored }
}

/** The modelled fleet of one run. */
export type ModelFleet = ReturnType<typeof createModelFleet>
