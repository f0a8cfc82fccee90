/**
 * Settings of `egretyoke-steward`.
 */
import { channelSettingsSchema, loopbackChannels } from '@egretyoke/protocol'
import { z } from 'zod'

const address = z.string().regex(/:\d+$/, 'HOST:PORT; port 0 asks for a free one')
const intervalMs = z.number().int().min(10).max(600_000)

/** Settings of one steward. */
export const stewardSettingsSchema = z.strictObject({
  /** Name of the VM that the steward runs on. */
  name: z.string().min(1).max(63),
  dataCentre: z.string().min(1).max(63),
  healthListen: address,
  platformAddress: address,
  /** Peer address of the entry on the same VM. If absent, all changes are read from the platform. */
  entryAddress: address.optional(),
  channels: channelSettingsSchema.default(loopbackChannels),
  /** Time without any reply after which an entry is out of contact; must be the same in the whole fleet. */
  contactTtlMs: intervalMs.default(2_000),
  /** Margin for clock differences, added to `contactTtlMs` when the steward waits for entries to be out of contact. */
  clockMarginMs: intervalMs.default(300),
  leaseTtlMs: intervalMs.default(3_000),
  probeIntervalMs: intervalMs.default(250),
  probeTimeoutMs: intervalMs.default(500),
  /** How long a primary must fail without interruption before the entries are polled and it can be replaced. */
  detectMs: intervalMs.default(1_000),
  platformTimeoutMs: intervalMs.default(1_000),
  vmListIntervalMs: intervalMs.default(1_000)
})

export type StewardSettings = z.infer<typeof stewardSettingsSchema>
