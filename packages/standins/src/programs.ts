/**
 * The stand-ins as programs: settings schemas and start functions.
 */
import type { ServerProgram } from '@egretyoke/common'
import { channelSettingsSchema, loopbackChannels } from '@egretyoke/protocol'
import { z } from 'zod'
import { startStandinDatabase } from './database-server.js'
import { startLink } from './link.js'
import { startStandinPlatform } from './platform-server.js'

const address = z.string().regex(/:\d+$/, 'HOST:PORT; port 0 asks for a free one')

const platformSettingsSchema = z.strictObject({
  listen: address,
  channels: channelSettingsSchema.default(loopbackChannels),
  seed: z.number().int().default(1)
})

/** Settings of the platform's stand-in. */
export type PlatformSettings = z.infer<typeof platformSettingsSchema>

/** Definition of the program `standin-platform`. */
export const platformProgram: ServerProgram<PlatformSettings> = {
  name: 'standin-platform',
  description: 'Stand-in of the platform: key-value service and list of VMs. For tests and experiments only.',
  settingsSchema: platformSettingsSchema,
  start: async settings => {
    const listener = await startStandinPlatform({ ...settings, address: settings.listen })
    return { addresses: { platform: listener.address }, close: listener.close }
  }
}

const databaseSettingsSchema = z.strictObject({
  listen: address,
  channels: channelSettingsSchema.default(loopbackChannels),
  seed: z.number().int().default(1),
  name: z.string().min(1),
  group: z.string().min(1),
  memberCount: z.number().int().min(1),
  firstPrimary: z.strictObject({ name: z.string().min(1), address }),
  slots: z.number().int().min(1).default(3),
  /** Maximum number of statements waiting for a slot; further ones are declined. */
  maxWaiting: z.number().int().min(0).default(100),
  maxConnections: z.number().int().min(1).default(20),
  connectMs: z.number().min(0).default(10),
  /** Time for which a statement without `costMs` occupies a slot. */
  serviceMs: z.number().min(0).default(2),
  replicationLagMs: z.number().min(0).default(0),
  record: z.boolean().default(false)
})

/** Settings of a database's stand-in. */
export type DatabaseSettings = z.infer<typeof databaseSettingsSchema>

/** Definition of the program `standin-database`. */
export const databaseProgram: ServerProgram<DatabaseSettings> = {
  name: 'standin-database',
  description: 'Stand-in of one member of a database group. For tests and experiments only.',
  settingsSchema: databaseSettingsSchema,
  start: async settings => {
    const listener = await startStandinDatabase({ ...settings, address: settings.listen })
    return { addresses: { database: listener.address }, close: listener.close }
  }
}

const linkSettingsSchema = z.strictObject({
  listen: address,
  control: address,
  target: address,
  delayMs: z.number().min(0).default(0)
})

/** Settings of a relay. */
export type LinkSettings = z.infer<typeof linkSettingsSchema>

/** Definition of the program `standin-link`. */
export const linkProgram: ServerProgram<LinkSettings> = {
  name: 'standin-link',
  description: 'TCP relay that can cut, delay or freeze connections. For tests and experiments only.',
  settingsSchema: linkSettingsSchema,
  start: async settings => {
    const link = await startLink(settings)
    return { addresses: { link: link.address, control: link.controlAddress }, close: link.close }
  }
}
