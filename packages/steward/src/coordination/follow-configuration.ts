/**
 * Maintains a local copy of the current configuration and reads it again whenever the configuration head changes.
 */
import { ticks } from '@egretyoke/common'
import type { Result } from '@egretyoke/common'
import { storeKeys } from '@egretyoke/config'
import type { Configuration } from '@egretyoke/config'
import type { FollowedRecords } from './follow-records.js'

const checkIntervalMs = 100

/** Local copy of the current configuration. */
export type FollowedConfiguration = {
  /** Undefined until the first successful read. An older version never replaces a newer one. */
  current: () => Configuration | undefined
  close: () => Promise<void>
}

/** Starts to follow the configuration; `read` fetches it from the store. */
export const followConfiguration = (
  followed: FollowedRecords,
  read: () => Promise<Result<Configuration, unknown>>
): FollowedConfiguration => {
  const stopping = new AbortController()
  let configuration: Configuration | undefined
  let lastReadRevision = 0

  const readIfChanged = async () => {
    const revision = followed.get(storeKeys.head)?.revision ?? 0
    if (revision === lastReadRevision) return
    const latest = await read()
    if (!latest.ok) return
    if (!configuration || latest.val.version >= configuration.version) configuration = latest.val
    lastReadRevision = revision
  }

  const followContinuously = async () => {
    for await (const _ of ticks(checkIntervalMs, stopping.signal)) await readIfChanged()
  }
  const running = followContinuously()
  const close = async () => {
    stopping.abort()
    await running
  }
  return { current: () => configuration, close }
}
