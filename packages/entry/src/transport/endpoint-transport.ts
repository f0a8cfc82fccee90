/**
 * Channels to one endpoint: database connections, and status requests for its log position.
 */
import { createEndpointConnector } from '@egretyoke/fleet'
import type { EndpointConfig } from '@egretyoke/config'
import { connectGrpc, createStreamCaller, endpointProto } from '@egretyoke/protocol'
import type { ChannelSettings } from '@egretyoke/protocol'
import type { EndpointTransport } from '../coordination/group-endpoints.js'

/** Opens the channels to an endpoint of a group. */
export const openEndpointTransport = (
  group: string,
  config: EndpointConfig,
  channels: ChannelSettings
): EndpointTransport => {
  const member = connectGrpc(endpointProto.Member, config.address, channels)
  const statusCaller = createStreamCaller(() => member.FollowStatus())
  return {
    connector: createEndpointConnector({ address: config.address, group, channels }),
    status: timeoutMs => statusCaller.call({}, timeoutMs),
    close: () => {
      statusCaller.close()
      member.close()
    }
  }
}
