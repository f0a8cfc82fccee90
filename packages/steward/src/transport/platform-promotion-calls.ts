/**
 * Implementation of a promotion's external calls with the platform's store and the entries.
 */
import { Ok, sleepMs } from '@egretyoke/common'
import type { Logger } from '@egretyoke/common'
import { encodeRecord, storeKeys } from '@egretyoke/config'
import type { Platform, StoredEntry } from '@egretyoke/fleet'
import type { EntryPeers } from '../coordination/entry-peers.js'
import type { PromotionCalls } from '../coordination/promotion-calls.js'
import { decodeGroupRecord, decodeRoster } from '../state/stored-records.js'

/** Dependencies of the promotion calls. */
export type PromotionCallsOptions = {
  group: string
  platform: Platform
  entries: EntryPeers
  /** Called with every record that the platform returns, to update the local copy. */
  updateCopy: (entry: StoredEntry) => void
  isRosterStable: PromotionCalls['isRosterStable']
  timeoutMs: number
  log: Logger
}

/** Creates the calls for one group. */
export const createPromotionCalls = (options: PromotionCallsOptions): PromotionCalls => {
  const { platform, timeoutMs, log } = options
  const groupKey = storeKeys.group(options.group)

  const get = async (key: string) => {
    const read = await platform.get(key, timeoutMs)
    if (read.ok && read.val) options.updateCopy(read.val)
    return read
  }

  return {
    readGroup: async () => {
      const read = await get(groupKey)
      return read.ok ? Ok(decodeGroupRecord(read.val, log)) : read
    },
    swapGroup: async (expectedRevision, record) => {
      const swap = await platform.compareAndSwap(
        { key: groupKey, expectedRevision, value: encodeRecord(record) }, timeoutMs)
      if (!swap.ok) return swap
      if (swap.val.current) options.updateCopy(swap.val.current)
      return Ok({ swapped: swap.val.swapped, current: decodeGroupRecord(swap.val.current, log) })
    },
    readRoster: async () => {
      const read = await get(storeKeys.roster)
      return read.ok ? Ok(decodeRoster(read.val, log).value) : read
    },
    isRosterStable: options.isRosterStable,
    entries: options.entries,
    sleepMs
  }
}
