/**
 * The command line against a stand-in platform: outcomes, exit codes, and the output on each stream.
 */
import { cpSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { exitCodes } from '@egretyoke/common'
import { isKeyValid, parseKey, storeKeys } from '@egretyoke/config'
import { readConfiguration, readHead } from '@egretyoke/fleet'
import { listenGrpc, loopbackChannels, peerProto } from '@egretyoke/protocol'
import type { PeerMessages } from '@egretyoke/protocol'
import type { sendUnaryData, ServerUnaryCall } from '@grpc/grpc-js'
import { runCtl } from './program.js'
import { startTestPlatform } from './test-platform.js'

const examples = fileURLToPath(new URL('../../../examples/', import.meta.url))

const copyOf = (t: ExecutionContext, deployment: string): string => {
  const directory = mkdtempSync(join(tmpdir(), 'egretyokectl-'))
  cpSync(join(examples, deployment), directory, { recursive: true })
  t.teardown(() => rmSync(directory, { recursive: true }))
  return directory
}

const replaceIn = (directory: string, name: string, from: string, to: string) => {
  const file = join(directory, `${name}.jsonc`)
  writeFileSync(file, readFileSync(file, 'utf8').replace(from, to))
}

type Run = { exitCode: number, out: string, err: string }

const run = async (...args: string[]): Promise<Run> => {
  let out = ''
  let err = ''
  const output = { out: (text: string) => { out += text }, err: (text: string) => { err += text } }
  const exitCode = await runCtl(args, { output, signal: new AbortController().signal })
  return { exitCode, out, err }
}

const start = async (t: ExecutionContext) => {
  const standin = await startTestPlatform()
  t.teardown(standin.close)
  const options = ['--platform', standin.address, '--timeout-ms', '1000', '--wait-ms', '1500']
  const ctl = (...args: string[]) => run(...options, ...args)
  const json = async (...args: string[]) => {
    const { exitCode, out } = await ctl('--json', ...args)
    return { exitCode, data: JSON.parse(out) }
  }
  return { standin, ctl, json }
}

test('validate reports every finding with its file, line and column, and changes nothing', async t => {
  const directory = copyOf(t, 'arenal')
  t.is((await run('validate', directory)).exitCode, exitCodes.ok)
  replaceIn(directory, 'profiles', '"timeoutMs": 5000', '"timeoutMs": "soon"')
  replaceIn(directory, 'groups', '"slots": 3', '"slots": 0, "colour": "red"')
  const { exitCode, err } = await run('validate', directory)
  t.is(exitCode, exitCodes.badSettings)
  t.regex(err, /profiles\.jsonc:9:\d+: profiles\.booking\.timeoutMs: /)
  t.regex(err, /groups\.jsonc:\d+:\d+: .*slots/)
  t.regex(err, /groups\.jsonc:\d+:\d+: .*colour: unknown field/)
  const asJson = await run('validate', directory, '--json')
  t.is(JSON.parse(asJson.out).findings.length, 3)
})

test('validate reports a finding for each missing document', async t => {
  const { exitCode, err } = await run('validate', join(examples, 'none'))
  t.is(exitCode, exitCodes.badSettings)
  t.is(err.trim().split('\n').length, 4)
})

for (const line of ['', 'fly', 'apply', 'status --fast', 'key create yard', '--wait-ms x status']) {
  const args = line.split(' ').filter(Boolean)
  test(`wrong usage: ${line || 'no command'}`, async t => {
    t.is((await run(...args)).exitCode, exitCodes.badUsage)
  })
}

test('help of every command names the exit codes', async t => {
  for (const args of [[], ['apply'], ['key', 'create'], ['data-centre', 'out'], ['status'], ['settle'], ['get']]) {
    const { exitCode, out } = await run(...args, '--help')
    t.is(exitCode, exitCodes.ok)
    t.regex(out, /Exit codes:/)
  }
  t.regex((await run('--version')).out, /^\d+\.\d+\.\d+\n$/)
})

test('apply, get and diff are consistent; a dry run changes nothing', async t => {
  const { standin, ctl, json } = await start(t)
  const directory = copyOf(t, 'arenal')
  t.is((await ctl('get')).exitCode, exitCodes.unavailable)
  const dry = await json('apply', directory, '--dry-run')
  t.is(dry.exitCode, exitCodes.ok)
  t.is(dry.data.documents.length, 4)
  t.is((await standin.stats()).writes, 0)
  t.false(readdirSync(directory).includes('.base-version'))

  t.deepEqual(await json('apply', directory), {
    exitCode: exitCodes.ok, data: { outcome: 'accepted', version: 1, changed: true }
  })
  t.like(await json('apply', directory), { data: { version: 1, changed: false } })
  t.deepEqual((await json('diff', directory)).data.documents, [])
  replaceIn(directory, 'profiles', '"timeoutMs": 5000', '"timeoutMs": 4000')
  const { data } = await json('diff', directory)
  t.deepEqual(data.documents[0].changes.map((change: { side: string }) => change.side), ['old', 'new'])
  t.is((await json('apply', directory, '--dry-run')).data.version, 1)
  t.is((await readHead(standin.platform, 1000)).unwrap().head.version, 1)
  t.like(await json('apply', directory), { data: { version: 2, changed: true } })
  t.is((await ctl('get', 'profiles')).out, readFileSync(join(directory, 'profiles.jsonc'), 'utf8'))
})

test('no document is applied when one is invalid', async t => {
  const { standin, ctl } = await start(t)
  const directory = copyOf(t, 'arenal')
  replaceIn(directory, 'groups', '"dataCentre": "ferrol-dock"', '"dataCentre": "ferrol"')
  const { exitCode, err } = await ctl('apply', directory)
  t.is(exitCode, exitCodes.badSettings)
  t.regex(err, /groups\.jsonc:\d+:\d+: groups\..*no data centre "ferrol"/)
  t.is((await standin.stats()).writes, 0)
})

test('a concurrent change is a conflict that shows both versions, and nothing is overwritten', async t => {
  const { standin, ctl, json } = await start(t)
  const mine = copyOf(t, 'arenal')
  await ctl('apply', mine)
  const theirs = copyOf(t, 'arenal')
  await ctl('get', '--out', theirs)
  replaceIn(theirs, 'profiles', '"timeoutMs": 5000', '"timeoutMs": 4000')
  replaceIn(mine, 'profiles', '"timeoutMs": 5000', '"timeoutMs": 3000')
  t.is((await ctl('apply', theirs)).exitCode, exitCodes.ok)
  for (const options of [[], ['--dry-run'], ['--base', '1']]) {
    const { exitCode, err } = await ctl('apply', mine, ...options)
    t.is(exitCode, exitCodes.conflict)
    t.regex(err, /version 1, version 2 is in force/)
    t.regex(err, /- 9: .*4000/)
    t.regex(err, /\+ 9: .*3000/)
  }
  t.like((await json('apply', mine)).data, { outcome: 'conflict', baseVersion: 1, headVersion: 2 })
  t.is((await readConfiguration(standin.platform, 1000)).unwrap().profiles.booking.timeoutMs, 4000)
  rmSync(join(mine, '.base-version'))
  t.is((await ctl('apply', mine)).exitCode, exitCodes.badUsage)
})

test('a key is shown once, and only its hash is stored', async t => {
  const { standin, ctl, json } = await start(t)
  const directory = copyOf(t, 'arenal')
  await ctl('apply', directory)
  const created = await json('key', 'create', 'hermanos-ulloa', 'ulloa-1')
  t.is(created.exitCode, exitCodes.ok)
  const { key } = created.data
  const { secret } = parseKey(key)!
  const stored = (await readConfiguration(standin.platform, 1000)).unwrap().workspaces['hermanos-ulloa'].keys['ulloa-1']
  t.true(isKeyValid(parseKey(key)!, stored))

  const { entries } = (await standin.platform.range('', 0, 1000)).unwrap()
  t.false(entries.some(entry => entry.value.includes(secret) || entry.value.includes(Buffer.from(secret, 'base64url'))))
  const { out } = await ctl('get', 'workspaces')
  t.false(out.includes(secret))
  t.true(out.includes('// Two skippers and their cousin.'), 'comments are preserved')

  t.is((await ctl('key', 'create', 'puerto-tablon', 'ulloa-1')).exitCode, exitCodes.conflict)
  t.is((await ctl('key', 'create', 'nobody', 'one')).exitCode, exitCodes.badUsage)
  t.is((await ctl('key', 'create', 'puerto-tablon', 'Not An Id')).exitCode, exitCodes.badUsage)
  const withdrawn = await ctl('key', 'withdraw', 'hermanos-ulloa', 'ulloa-1')
  t.is(withdrawn.exitCode, exitCodes.ok)
  t.false((withdrawn.out + withdrawn.err).includes(secret))
  t.like(await json('key', 'withdraw', 'hermanos-ulloa', 'ulloa-1'), { data: { changed: false } })
  const now = (await readConfiguration(standin.platform, 1000)).unwrap().workspaces['hermanos-ulloa'].keys['ulloa-1']
  t.false(isKeyValid(parseKey(key)!, now))
  t.is((await ctl('key', 'create', 'hermanos-ulloa', 'ulloa-1')).exitCode, exitCodes.conflict, 'ids are not reused')
  t.is((await ctl('key', 'withdraw', 'hermanos-ulloa', 'other')).exitCode, exitCodes.badUsage)
})

test('concurrent key creations and data-centre changes are all accepted', async t => {
  const { standin, ctl } = await start(t)
  await ctl('apply', copyOf(t, 'modhafen'))
  await standin.setFault({ loseSwapAnswers: 0.2 })
  const ids = ['a', 'b', 'c', 'd']
  const options = ['--platform', standin.address, '--timeout-ms', '100', '--wait-ms', '20000']
  const runs = await Promise.all([
    ...ids.map(id => run(...options, 'key', 'create', 'donauforge', id)),
    run(...options, 'data-centre', 'out', 'nue-a')
  ])
  t.deepEqual(runs.map(({ exitCode }) => exitCode), [0, 0, 0, 0, 0])
  const { workspaces, dataCentres, version } = (await readConfiguration(standin.platform, 1000)).unwrap()
  t.deepEqual(Object.keys(workspaces.donauforge.keys).sort(), ids)
  t.is(dataCentres['nue-a'].state, 'out')
  t.is(version, 6)
})

test('a data centre is taken out and put back; the last one cannot be taken out', async t => {
  const { standin, ctl, json } = await start(t)
  await ctl('apply', copyOf(t, 'arenal'))
  t.is((await ctl('data-centre', 'out', 'gijon')).exitCode, exitCodes.badUsage)
  for (const name of ['santander-quay', 'aviles-yard']) {
    t.like(await json('data-centre', 'out', name), { exitCode: exitCodes.ok, data: { changed: true } })
  }
  const last = await ctl('data-centre', 'out', 'ferrol-dock')
  t.is(last.exitCode, exitCodes.badSettings)
  t.regex(last.err, /at least one data centre must be in/)
  t.like(await json('data-centre', 'in', 'aviles-yard'), { data: { version: 4, changed: true } })
  const { dataCentres } = (await readConfiguration(standin.platform, 1000)).unwrap()
  t.deepEqual(Object.values(dataCentres).map(({ state }) => state), ['out', 'in', 'in'])
})

test('a change is unsettled when the platform stops answering after its swap; settle reports the outcome', async t => {
  const { standin, ctl, json } = await start(t)
  const { platform, address, setFault } = standin
  const directory = copyOf(t, 'arenal')
  await ctl('apply', directory)
  replaceIn(directory, 'profiles', '"timeoutMs": 5000', '"timeoutMs": 4000')
  await setFault({ loseSwapAnswers: 1 })
  const options = ['--json', '--platform', address, '--timeout-ms', '2000', '--wait-ms', '5000']
  const pending = run(...options, 'apply', directory)
  for await (const { entries } of platform.watch(storeKeys.head, 0, AbortSignal.timeout(10_000))) {
    if (entries.some(entry => entry.value.includes('"version":2'))) break
  }
  await setFault({ down: true })
  const { exitCode, out } = await pending
  const { outcome, changeId } = JSON.parse(out)
  t.is(exitCode, exitCodes.unavailable)
  t.is(outcome, 'unsettled')
  t.like(await json('settle', changeId), { exitCode: exitCodes.unavailable, data: { outcome: 'unsettled' } })
  await setFault({})
  t.like(await json('settle', changeId), { exitCode: exitCodes.ok, data: { outcome: 'accepted', version: 2 } })
  const [lost, later] = [1, 2].map(base => `v${base}-${'0'.repeat(24)}`)
  t.like(await json('settle', lost), { exitCode: exitCodes.conflict, data: { outcome: 'notAccepted' } })
  t.like(await json('settle', later), { exitCode: exitCodes.unavailable, data: { outcome: 'open' } })
  t.is((await ctl('settle', 'nonsense')).exitCode, exitCodes.badUsage)
})

test('while the platform is down commands exit with unavailable', async t => {
  const { standin, ctl } = await start(t)
  const directory = copyOf(t, 'arenal')
  await standin.setFault({ down: true })
  for (const line of [`apply ${directory}`, 'get', 'status', 'key create x y', 'data-centre out x']) {
    t.is((await ctl(...line.split(' '))).exitCode, exitCodes.unavailable, line)
  }
  t.is((await run('status')).exitCode, exitCodes.badUsage, 'no platform named')
})

const startVm = async (t: ExecutionContext, state: () => PeerMessages.HeartbeatMessage) => {
  const heartbeatSenders: string[] = []
  const listener = await listenGrpc('127.0.0.1:0', { channels: loopbackChannels }, server => {
    server.addService(peerProto.Peer.service, {
      Heartbeat: (
        call: ServerUnaryCall<PeerMessages.HeartbeatMessage__Output, PeerMessages.HeartbeatMessage>,
        done: sendUnaryData<PeerMessages.HeartbeatMessage>
      ) => {
        heartbeatSenders.push(call.request.vm)
        done(null, state())
      }
    })
  })
  t.teardown(listener.close)
  return { address: listener.address, heartbeatSenders }
}

test('apply --wait and status report the VMs that do not have the version', async t => {
  const { standin, ctl, json } = await start(t)
  const versions = { one: 0, two: 0 }
  const one = await startVm(t, () => ({ vm: 'one', configVersion: versions.one, confirmedAgeMs: 12 }))
  const two = await startVm(t, () => ({ vm: 'two', configVersion: versions.two, confirmedAgeMs: 4_294_967_295 }))
  const listed = (name: string, address: string, leaving = false) =>
    ({ name, address, role: 'ENTRY' as const, dataCentre: 'aviles-yard', leaving })
  await standin.setVms([
    listed('one', one.address), listed('two', two.address), listed('gone', '127.0.0.1:9', true),
    { ...listed('booking-core-1-aviles', '127.0.0.1:9'), role: 'ENDPOINT' }
  ])
  const directory = copyOf(t, 'arenal')
  versions.one = 1
  const waiting = await json('apply', directory, '--wait')
  t.is(waiting.exitCode, exitCodes.unavailable)
  t.like(waiting.data, { outcome: 'accepted', version: 1, missing: ['two'] })
  t.deepEqual([...new Set([...one.heartbeatSenders, ...two.heartbeatSenders])], [''], 'an observer sends an empty name')

  const behind = await json('status')
  t.is(behind.exitCode, exitCodes.unavailable)
  t.deepEqual(behind.data.vms.map((vm: { name: string, isCurrent: boolean }) => [vm.name, vm.isCurrent]),
    [['one', true], ['two', false], ['gone', true]])
  t.like(behind.data.vms[0], { confirmedAgeMs: 12, configVersion: 1 })
  t.is(behind.data.vms[1].confirmedAgeMs, null)
  t.is(behind.data.groups.length, 3)
  versions.two = 1
  t.like(await json('apply', directory, '--wait'), { exitCode: exitCodes.ok, data: { changed: false, missing: [] } })
  const out = await json('data-centre', 'out', 'aviles-yard', '--wait')
  t.like(out, { exitCode: exitCodes.unavailable, data: { version: 2, missing: ['one', 'two'] } })
  versions.one = versions.two = 2
  t.like(await json('data-centre', 'in', 'aviles-yard'), { exitCode: exitCodes.ok, data: { version: 3 } })
  versions.one = versions.two = 3
  t.like(await json('key', 'create', 'hermanos-ulloa', 'one', '--wait'), { data: { missing: ['one', 'two'] } })
  versions.one = versions.two = 4
  const well = await ctl('status')
  t.is(well.exitCode, exitCodes.ok)
  t.regex(well.out, /one \(aviles-yard\): version 4, platform confirmed 12 ms ago/)
})

test('invalid TLS settings are reported as findings', async t => {
  const directory = copyOf(t, 'arenal')
  const file = join(directory, 'channels.jsonc')
  writeFileSync(file, '{ "tls": { "certificateFile": 1 } }')
  const { exitCode, err } = await run('--platform', '127.0.0.1:1', '--channels', file, 'status')
  t.is(exitCode, exitCodes.badSettings)
  t.regex(err, /channels\.jsonc:1:\d+: /)
})
