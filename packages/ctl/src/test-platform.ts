/**
 * A stand-in platform with fault injection, in the test process.
 */
import { connectPlatform } from '@egretyoke/fleet'
import type { Platform } from '@egretyoke/fleet'
import { callUnary, connectGrpc, loopbackChannels, standinProto } from '@egretyoke/protocol'
import type { PlatformMessages, StandinMessages } from '@egretyoke/protocol'
import { startStandinPlatform } from '@egretyoke/standins'

const controlTimeoutMs = 5000

/** A stand-in platform with its client and its control functions. */
export type TestPlatform = {
  address: string
  platform: Platform
  setFault: (fault: StandinMessages.PlatformFault) => Promise<void>
  setVms: (vms: PlatformMessages.Vm[]) => Promise<void>
  stats: () => Promise<StandinMessages.PlatformStats__Output>
  close: () => Promise<void>
}

/** Starts a stand-in platform on a free loopback port. */
export const startTestPlatform = async (seed = 1): Promise<TestPlatform> => {
  const listener = await startStandinPlatform({ address: '127.0.0.1:0', channels: loopbackChannels, seed })
  const platform = connectPlatform(listener.address, loopbackChannels)
  const control = connectGrpc(standinProto.PlatformControl, listener.address, loopbackChannels)
  const setFault = async (fault: StandinMessages.PlatformFault) => {
    (await callUnary(control, control.SetPlatformFault, fault, controlTimeoutMs)).unwrap()
  }
  const setVms = async (vms: PlatformMessages.Vm[]) => {
    (await callUnary(control, control.SetVms, { vms }, controlTimeoutMs)).unwrap()
  }
  const stats = async () => (await callUnary(control, control.GetPlatformStats, {}, controlTimeoutMs)).unwrap()
  const close = async () => {
    platform.close()
    control.close()
    await listener.close()
  }
  return { address: listener.address, platform, setFault, setVms, stats, close }
}
