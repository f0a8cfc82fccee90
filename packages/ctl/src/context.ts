/**
 * Context of commands: the platform's client, TLS settings, timeouts, and the logger.
 */
import { readFile } from 'node:fs/promises'
import { Err, messageOf, Ok, readJsonWithComments } from '@egretyoke/common'
import type { Logger, Result } from '@egretyoke/common'
import { connectPlatform } from '@egretyoke/fleet'
import type { ApplyTimeouts, Platform } from '@egretyoke/fleet'
import { channelSettingsSchema, loopbackChannels } from '@egretyoke/protocol'
import type { ChannelSettings } from '@egretyoke/protocol'
import { findingsReport, usageReport } from './report.js'
import type { Report } from './report.js'

/** Options of every command that calls the platform. */
export type PlatformOptions = {
  platform?: string
  channels?: string
  /** Timeout of each call, in milliseconds. */
  timeoutMs: number
  /** How long to retry while the platform does not answer, in milliseconds. */
  waitMs: number
}

/** Context of a command; `close` closes its connections. */
export type Context = {
  platform: Platform
  channels: ChannelSettings
  timeouts: ApplyTimeouts
  log: Logger
  close: () => void
}

const readChannels = async (file: string | undefined): Promise<Result<ChannelSettings, Report>> => {
  if (!file) return Ok(loopbackChannels)
  try {
    const settings = readJsonWithComments(await readFile(file, 'utf8'), file, channelSettingsSchema)
    return settings.ok ? Ok(settings.val) : Err(findingsReport(settings.val))
  } catch (thrown) {
    return Err(findingsReport([{ file, line: 1, column: 1, message: messageOf(thrown) }]))
  }
}

/** Connects to the platform at the address in the options. */
export const openContext = async (options: PlatformOptions, log: Logger): Promise<Result<Context, Report>> => {
  if (!options.platform) return Err(usageReport('no platform: pass --platform HOST:PORT or set EGRETYOKE_PLATFORM'))
  const channels = await readChannels(options.channels)
  if (!channels.ok) return Err(channels.val)
  try {
    const platform = connectPlatform(options.platform, channels.val)
    const timeouts = { callTimeoutMs: options.timeoutMs, waitMs: options.waitMs }
    return Ok({ platform, channels: channels.val, timeouts, log, close: platform.close })
  } catch (thrown) {
    return Err(usageReport(messageOf(thrown)))
  }
}
