/**
 * TLS between processes, by settings. Certificate files are reloaded periodically; open connections stay open.
 */
import { accessSync, constants } from 'node:fs'
import { ChannelCredentials, experimental, ServerCredentials } from '@grpc/grpc-js'
import { splitAddress } from '@egretyoke/common'
import { z } from 'zod'

/** Files of a process's certificate, its private key, and the authority that signs the certificates of its peers. */
export const tlsSettingsSchema = z.strictObject({
  /** Optional for clients, required for listeners. */
  certificateFile: z.string().min(1).optional(),
  privateKeyFile: z.string().min(1).optional(),
  authorityFile: z.string().min(1),
  /** Interval at which the files are reloaded, in milliseconds. */
  reloadIntervalMs: z.number().int().min(100).default(60_000)
}).refine(
  tls => (tls.certificateFile === undefined) === (tls.privateKeyFile === undefined),
  'certificateFile and privateKeyFile go together'
)

/** TLS settings of one process. */
export type TlsSettings = z.infer<typeof tlsSettingsSchema>

/** Schema of the settings of listeners and clients between processes. */
export const channelSettingsSchema = z.strictObject({
  tls: tlsSettingsSchema.optional(),
  /** Allows plain text beyond the loopback range. */
  allowPlainText: z.boolean().default(false)
})

/** Settings of listeners and clients between processes. */
export type ChannelSettings = z.infer<typeof channelSettingsSchema>

/** Settings for plain text on loopback only. */
export const loopbackChannels: ChannelSettings = { allowPlainText: false }

const isLoopback = (address: string): boolean => {
  const { host } = splitAddress(address)
  return host.startsWith('127.') || host === 'localhost' || host === '[::1]' || host === '::1'
}

const assertPlainTextAllowed = (address: string, settings: ChannelSettings): void => {
  if (settings.allowPlainText || isLoopback(address)) return
  throw new Error(`${address}: plain text is allowed on loopback only; set tls or allowPlainText`)
}

/** Reads the files of the TLS settings, and reloads them at the interval that is set. */
const watchFiles = (tls: TlsSettings): experimental.FileWatcherCertificateProvider =>
  new experimental.FileWatcherCertificateProvider({
    certificateFile: tls.certificateFile,
    privateKeyFile: tls.privateKeyFile,
    caCertificateFile: tls.authorityFile,
    refreshIntervalMs: tls.reloadIntervalMs
  })

const assertReadable = (tls: TlsSettings): void => {
  for (const file of [tls.certificateFile, tls.privateKeyFile, tls.authorityFile]) {
    if (file !== undefined) accessSync(file, constants.R_OK)
  }
}

/** Clients that may connect to a listener: `peers` must present a certificate of the authority, `anyone` need not. */
export type Audience = 'peers' | 'anyone'

/**
 * Credentials of a listener. New connections use the current files; open connections are unaffected.
 * Throws when plain text is not allowed there or a file cannot be read.
 */
export const serverCredentials = (
  address: string,
  settings: ChannelSettings,
  audience: Audience = 'peers'
): ServerCredentials => {
  const { tls } = settings
  if (!tls) {
    assertPlainTextAllowed(address, settings)
    return ServerCredentials.createInsecure()
  }
  if (!tls.certificateFile) throw new Error(`${address}: a listener needs certificateFile and privateKeyFile`)
  assertReadable(tls)
  const files = watchFiles(tls)
  return experimental.createCertificateProviderServerCredentials(files, files, audience === 'peers')
}

/**
 * Credentials of a client. New connections use the current files; open connections are unaffected.
 * Throws when plain text is not allowed there or a file cannot be read.
 */
export const clientCredentials = (address: string, settings: ChannelSettings): ChannelCredentials => {
  const { tls } = settings
  if (!tls) {
    assertPlainTextAllowed(address, settings)
    return ChannelCredentials.createInsecure()
  }
  assertReadable(tls)
  const files = watchFiles(tls)
  return experimental.createCertificateProviderChannelCredentials(files, tls.certificateFile ? files : null)
}
