/**
 * Results of operations that can fail for expected reasons. Only this module imports ts-results: native ES modules see
 * only the default export of its CommonJS build, and bundlers only the named exports of its ES build.
 */
import * as module from 'ts-results'
import type { Result as TsResult, Ok as TsOk, Err as TsErr } from 'ts-results'

const tsResults: typeof module = 'default' in module ? module.default as typeof module : module

export type Result<T, E> = TsResult<T, E>
export type Ok<T> = TsOk<T>
export type Err<E> = TsErr<E>

/** Creates a successful result. */
export const Ok = tsResults.Ok

/** Creates a failed result with an expected error. */
export const Err = tsResults.Err
