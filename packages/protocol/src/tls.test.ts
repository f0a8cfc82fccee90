/**
 * TLS between processes: client authentication, and certificate reload while connections are open.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { connect as connectTls } from 'node:tls'
import type { sendUnaryData, Server } from '@grpc/grpc-js'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { sleepMs, splitAddress } from '@egretyoke/common'
import { generate } from 'selfsigned'
import { callUnary, connectGrpc } from './grpc-client.js'
import { listenGrpc } from './grpc-server.js'
import { peerProto } from './load-protos.js'
import type { ChannelSettings } from './tls.js'

const reloadIntervalMs = 100
const callTimeoutMs = 2_000
const maxReloadChecks = 100

type Identity = { certificate: string, privateKey: string }

const createIdentity = async (name: string): Promise<Identity> => {
  const pems = await generate([{ name: 'commonName', value: name }], {
    keyType: 'ec',
    algorithm: 'sha256',
    extensions: [
      { name: 'basicConstraints', cA: true },
      { name: 'subjectAltName', altNames: [{ type: 7, ip: '127.0.0.1' }] }
    ]
  })
  return { certificate: pems.cert, privateKey: pems.private }
}

/** Folder of certificates; removed after the test. */
const createFolder = (t: ExecutionContext) => {
  const folder = mkdtempSync(join(tmpdir(), 'egretyoke-tls-'))
  const write = (name: string, identity: Identity, trusted: Identity[]): ChannelSettings => {
    const certificateFile = join(folder, `${name}.crt`)
    const privateKeyFile = join(folder, `${name}.key`)
    const authorityFile = join(folder, `${name}.ca`)
    writeFileSync(certificateFile, identity.certificate)
    writeFileSync(privateKeyFile, identity.privateKey)
    writeFileSync(authorityFile, trusted.map(one => one.certificate).join('\n'))
    return { tls: { certificateFile, privateKeyFile, authorityFile, reloadIntervalMs }, allowPlainText: false }
  }
  t.teardown(() => rmSync(folder, { recursive: true }))
  return { write }
}

/** A listener that is closed after the test, also a failed one, because an open listener keeps the process running. */
const listen = async (t: ExecutionContext, channels: ChannelSettings, audience: 'peers' | 'anyone') => {
  const addService = (server: Server) => server.addService(peerProto.Peer.service, {
    Heartbeat: (_call: unknown, done: sendUnaryData<object>) => done(null, { vm: 'answering' }),
    FetchState: (_call: unknown, done: sendUnaryData<object>) => done(null, {}),
    StopConfirming: (_call: unknown, done: sendUnaryData<object>) => done(null, {}),
    Borrow: (_call: unknown, done: sendUnaryData<object>) => done(null, {})
  })
  const listener = await listenGrpc('127.0.0.1:0', { channels, audience }, addService)
  t.teardown(() => listener.close())
  return listener
}

/** A client that is closed after the test. */
const connect = (t: ExecutionContext, address: string, channels: ChannelSettings) => {
  const client = connectGrpc(peerProto.Peer, address, channels)
  t.teardown(() => client.close())
  return client
}

const heartbeat = async (client: InstanceType<typeof peerProto.Peer>): Promise<boolean> =>
  (await callUnary(client, client.Heartbeat, { vm: 'asking' }, callTimeoutMs)).ok

/** Fingerprint of the certificate that a listener presents on a new connection. */
const presentedFingerprint = (address: string): Promise<string> => new Promise((resolve, reject) => {
  const { host, port } = splitAddress(address)
  const socket = connectTls({ host, port, rejectUnauthorized: false, ALPNProtocols: ['h2'] }, () => {
    resolve(socket.getPeerCertificate().fingerprint256)
    socket.destroy()
  })
  socket.once('error', reject)
})

test('a listener for peers rejects clients without a certificate that it trusts', async t => {
  const folder = createFolder(t)
  const [server, peer, stranger] = await Promise.all(['server', 'peer', 'stranger'].map(createIdentity))
  const listener = await listen(t, folder.write('server', server, [peer]), 'peers')
  const trusted = connect(t, listener.address, folder.write('peer', peer, [server]))
  const untrusted = connect(t, listener.address, folder.write('stranger', stranger, [server]))
  const anonymousSettings = folder.write('anonymous', stranger, [server])
  delete anonymousSettings.tls!.certificateFile
  delete anonymousSettings.tls!.privateKeyFile
  const anonymous = connect(t, listener.address, anonymousSettings)
  t.true(await heartbeat(trusted))
  t.false(await heartbeat(untrusted))
  t.false(await heartbeat(anonymous))
  const open = await listen(t, folder.write('open', server, [peer]), 'anyone')
  const caller = connect(t, open.address, anonymousSettings)
  t.true(await heartbeat(caller))
})

test('reloaded certificates apply to new connections, and open connections stay open', async t => {
  const folder = createFolder(t)
  const [before, after, peer] = await Promise.all(['before', 'after', 'peer'].map(createIdentity))
  const listener = await listen(t, folder.write('server', before, [peer]), 'peers')
  const client = connect(t, listener.address, folder.write('peer', peer, [before]))
  t.true(await heartbeat(client))
  const fingerprintBefore = await presentedFingerprint(listener.address)
  folder.write('server', after, [peer])
  let fingerprintAfter = fingerprintBefore
  for (let attempt = 0; attempt < maxReloadChecks && fingerprintAfter === fingerprintBefore; attempt++) {
    await sleepMs(reloadIntervalMs)
    fingerprintAfter = await presentedFingerprint(listener.address)
  }
  t.not(fingerprintAfter, fingerprintBefore)
  // The client trusts only the former certificate, so a reply proves that it still uses its first connection.
  t.true(await heartbeat(client))
})

test('plain text is allowed only on loopback, unless the settings allow it', async t => {
  const beyondLoopback = '10.1.2.3:7000'
  t.throws(() => connectGrpc(peerProto.Peer, beyondLoopback, { allowPlainText: false }), { message: /plain text/ })
  t.notThrows(() => connectGrpc(peerProto.Peer, beyondLoopback, { allowPlainText: true }).close())
  await t.throwsAsync(listen(t, {
    tls: { authorityFile: 'none', reloadIntervalMs }, allowPlainText: false
  }, 'peers'), { message: /needs certificateFile/ })
})
