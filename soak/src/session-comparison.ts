/**
 * Compares sessions through gateway processes with one model for each caller, over random sequences of statements.
 */
import fc from 'fast-check'
import type { CallerConnection } from './caller-connection.js'
import { startSessionEnvironment, sessionWorkspaces } from './session-environment.js'
import type { SessionEnvironment } from './session-environment.js'
import { createSessionModel } from './session-model.js'
import type { SessionModel } from './session-model.js'
import { callerCount, sessionSequences } from './session-sequences.js'
import type { PreparedTexts, SessionSequence } from './session-sequences.js'

/** Options of a comparison. */
export type ComparisonOptions = { seed: number, sequences: number, preparedTexts: PreparedTexts }

/** Result of a comparison. */
export type ComparisonResult = {
  /** Sequences that ran, up to the first that contradicts the models. */
  sequences: number
  statements: number
  /** Statements that succeeded, and of these the executed prepared ones. */
  done: number
  executed: number
  /** What contradicts the models in the first such sequence; empty if nothing does. */
  firstProblems: string[]
  /** The same in the shortest such sequence that was found, and its steps. */
  problems: string[]
  trace: SessionSequence['steps']
}

/** Sequences that are tried in order to find a shorter one that contradicts the models. */
const maxShorterTried = 200

type Counts = { sequences: number, statements: number, done: number, executed: number }
const newCounts = (): Counts => ({ sequences: 0, statements: 0, done: 0, executed: 0 })
type Session = { caller: CallerConnection, model: SessionModel }

/** Runs one sequence in a workspace of its own; returns what contradicts the models. */
const runSequence = async (
  { openCaller, database }: SessionEnvironment, { isConcurrent, steps }: SessionSequence, counts: Counts
): Promise<string[]> => {
  const sequence = ++counts.sequences
  const workspace = sessionWorkspaces[sequence % sessionWorkspaces.length]
  const firstRun = database.runs.length
  const seenTransactions = new Set<number>()
  const sent = new Set<string>()
  const problems: string[] = []
  const models: SessionModel[] = []
  const open = async (index: number): Promise<Session> => {
    const caller = await openCaller(index % 2, workspace)
    const model = createSessionModel(database, workspace, seenTransactions)
    models.push(model)
    return { caller, model }
  }
  const sessions: Session[] = []
  for (let index = 0; index < callerCount; index++) sessions.push(await open(index))

  const runStep = async ({ caller: index, text }: SessionSequence['steps'][number], step: number) => {
    if (text === undefined) {
      sessions[index].caller.close()
      sessions[index] = await open(index)
      return
    }
    const requestId = `${sequence}.${step}`
    sent.add(requestId)
    const reply = await sessions[index].caller.send(`QUERY ${requestId} ${text}`)
    const found = sessions[index].model.compare(requestId, text, reply)
    problems.push(...found.map(problem => `step ${step} of caller ${index}: ${problem}`))
    counts.statements++
    if (reply?.error !== '') return
    counts.done++
    if (text.startsWith('EXECUTE ')) counts.executed++
  }
  const runStepsOf = async (index: number) => {
    for (const [step, each] of steps.entries()) if (each.caller === index) await runStep(each, step)
  }
  if (isConcurrent) await Promise.all(sessions.map((_, index) => runStepsOf(index)))
  else for (const [step, each] of steps.entries()) await runStep(each, step)

  for (const { caller } of sessions) caller.close()
  for (const model of models) problems.push(...model.end())
  for (const { requestId } of database.runs.slice(firstRun)) {
    if (!sent.has(requestId)) problems.push(`ran ${requestId}, which no caller sent`)
  }
  return problems
}

/** Runs sequences until one contradicts the models; then looks for a shorter one. */
export const compareSessions = async (
  { seed, sequences, preparedTexts }: ComparisonOptions
): Promise<ComparisonResult> => {
  const environment = await startSessionEnvironment()
  const counts = newCounts()
  let firstProblems: string[] = []
  let problems: string[] = []
  let shorterTried = 0
  const property = fc.asyncProperty(sessionSequences(preparedTexts), async sequence => {
    if (firstProblems.length > 0 && ++shorterTried > maxShorterTried) return true
    const found = await runSequence(environment, sequence, counts)
    if (found.length > 0) problems = found
    if (firstProblems.length === 0) firstProblems = found
    return found.length === 0
  })
  try {
    const details = await fc.check(property, { seed, numRuns: sequences })
    const trace = details.counterexample?.[0].steps ?? []
    return { ...counts, sequences: details.numRuns, firstProblems, problems, trace }
  } finally {
    await environment.close()
  }
}
