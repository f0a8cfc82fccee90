/**
 * Links to other gateways by address, and the service that answers their links.
 */
import type { Server, ServerDuplexStream } from '@grpc/grpc-js'
import { startTicks } from '@egretyoke/common'
import type { Logger } from '@egretyoke/common'
import type { ChannelSettings, RelayMessages } from '@egretyoke/protocol'
import type { RelayCalls } from '../coordination/routing/relay-calls.js'
import { outcomeWithoutRows } from '../coordination/sessions/statement.js'
import { events } from '../events.js'
import { planPings, tickIntervalMs } from './idle-pings.js'
import { encodeReply, relayService } from './relay-encoding.js'
import type { EncodedMessage } from './relay-encoding.js'
import { createRelayLink } from './relay-link.js'
import type { RelayLink } from './relay-link.js'

const maxLinks = 2048
/** How long the links are pinged for the readiness of their peers after it was last asked for. */
const readinessNeededMs = 2000

/** Links to other gateways. */
export type RelayLinks = RelayCalls & {
  /** Whether at least one peer accepts new sessions. */
  isAnyReady: () => boolean
  /**
   * Closes the links to addresses that are not in the set, each when its pending requests are done: a member whose
   * lease has lapsed while the store refuses it still replies to what it was sent.
   */
  retain: (addresses: ReadonlySet<string>) => void
  close: () => void
}

/**
 * Creates an empty table of links; a link is created on the first request to its address. `memberCount` is the size of
 * the fleet, including this gateway.
 */
export const createRelayLinks = (
  channels: ChannelSettings, memberCount: () => number, log: Logger
): RelayLinks => {
  const links = new Map<string, RelayLink>()
  /** Links to former members that still have pending requests. */
  const retiredLinks = new Set<RelayLink>()
  let readinessNeededUntilMs = -Infinity

  const linkTo = (address: string): RelayLink => {
    const existing = links.get(address)
    if (existing !== undefined) return existing
    if (links.size >= maxLinks) retain(new Set())
    const link = createRelayLink(address, channels, {
      onDown: reason => log(events.peerLost, { address, reason }),
      onTooLarge: ({ metadata }) => log(events.messageTooLarge, { kind: 'request', address, ...metadata })
    })
    links.set(address, link)
    return link
  }

  const retain = (addresses: ReadonlySet<string>) => {
    for (const [address, link] of links) {
      if (addresses.has(address)) continue
      links.delete(address)
      retire(address, link)
    }
  }

  const retire = (address: string, link: RelayLink) => {
    retiredLinks.add(link)
    link.retire(() => {
      retiredLinks.delete(link)
      log(events.linkClosed, { address, reason: 'memberLeft' })
    })
  }

  const stopTicks = startTicks(tickIntervalMs, () => {
    const isReadinessNeeded = performance.now() < readinessNeededUntilMs
    const plan = planPings({ memberCount: memberCount(), linkCount: links.size, isReadinessNeeded })
    for (const link of [...links.values(), ...retiredLinks]) link.tick(plan)
  })

  return {
    call: ({ address }, request, timeoutMs) => linkTo(address).call(request, timeoutMs),
    isUsable: ({ address }) => links.get(address)?.isUsable() ?? true,
    isConnected: ({ address }) => linkTo(address).isConnected(),
    isAnyReady: () => {
      readinessNeededUntilMs = performance.now() + readinessNeededMs
      return [...links.values()].some(link => link.isPeerReady())
    },
    retain,
    close: () => {
      stopTicks()
      for (const link of [...links.values(), ...retiredLinks]) link.close()
      links.clear()
      retiredLinks.clear()
    }
  }
}

/** Handles a request of another gateway; resolves with undefined when the request needs no reply. */
export type RelayRequestHandler =
  (request: RelayMessages.RelayRequest__Output) => Promise<Omit<RelayMessages.RelayReply, 'number'> | undefined>

/** The encoded reply, or one that takes its place when it is too large; undefined if there is none. */
const encodeFitting = (
  request: RelayMessages.RelayRequest__Output, reply: Omit<RelayMessages.RelayReply, 'number'>, log: Logger
): EncodedMessage | undefined => {
  const { number, run } = request
  const encoded = encodeReply({ number, ...reply })
  if (encoded.ok) return encoded.val
  log(events.messageTooLarge, { kind: 'reply', ...encoded.val.metadata })
  return run ? encodeReply({ number, statement: outcomeWithoutRows(run) }).unwrap() : undefined
}

/** Adds the relay service to a gRPC server. Requests of one stream are answered in the order in which they finish. */
export const addRelayService = (server: Server, handle: RelayRequestHandler, log: Logger): void => {
  type Call = ServerDuplexStream<RelayMessages.RelayRequest__Output, EncodedMessage>
  server.addService(relayService(), {
    Exchange: (call: Call) => {
      let isOpen = true
      const end = () => { isOpen = false }
      call.on('data', async (request: RelayMessages.RelayRequest__Output) => {
        const reply = await handle(request)
        if (!isOpen || reply === undefined) return
        const encoded = encodeFitting(request, reply, log)
        if (encoded !== undefined) call.write(encoded)
      })
      call.on('end', () => {
        end()
        call.end()
      })
      call.on('cancelled', end)
      call.on('error', end)
    }
  })
}
