/**
 * Results of operations that can fail for expected reasons. The one place that imports ts-results: its CommonJS build
 * gives native ES modules a default export only, its ES build, which a bundler takes, only named ones.
 */
import * as module from 'ts-results'
import type { Result as TsResult, Ok as TsOk, Err as TsErr } from 'ts-results'

const tsResults: typeof module = 'default' in module ? module.default as typeof module : module

export type Result<T, E> = TsResult<T, E>
export type Ok<T> = TsOk<T>
export type Err<E> = TsErr<E>

/** Wraps a successful value. */
export const Ok = tsResults.Ok

/** Wraps an expected error. */
export const Err = tsResults.Err
