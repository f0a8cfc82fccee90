/**
 * Links to other gateways by address, and the service that answers their links.
 */
import type { Server, ServerDuplexStream } from '@grpc/grpc-js'
import { startTicks } from '@egretyoke/common'
import type { Logger } from '@egretyoke/common'
import type { ChannelSettings, RelayMessages } from '@egretyoke/protocol'
import type { Member } from '../state/stored-records.js'
import type { RelayCalls } from '../coordination/routing/relay-calls.js'
import { outcomeWithoutRows } from '../coordination/sessions/statement.js'
import { events } from '../events.js'
import { createAwakeClock } from './awake-clock.js'
import { planPings, tickIntervalMs } from './idle-pings.js'
import { doubtsItself } from './peer-detector.js'
import { encodeReply, relayService } from './relay-encoding.js'
import type { EncodedMessage } from './relay-encoding.js'
import { createRelayLink } from './relay-link.js'
import type { RelayLink } from './relay-link.js'

const maxLinks = 2048
/** How long the links are pinged for the readiness of their peers after it was last asked for. */
const readinessNeededMs = 2000
/** After a longer gap between ticks, this process was stalled. */
const maxTickGapMs = 1.25 * tickIntervalMs

/** What links count. */
export type LinkEvent = 'suspected' | 'lost' | 'memberLeft' | 'manySilent'

/** Links to other gateways. */
export type RelayLinks = RelayCalls & {
  /** Whether the peer has not replied for longer than usual, so that another is preferred for new requests. */
  isSuspected: (peer: Member) => boolean
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
 * the fleet, including this gateway; `count` is called for each event of a link.
 */
export const createRelayLinks = (
  channels: ChannelSettings, memberCount: () => number, log: Logger,
  count: (event: LinkEvent) => void = () => {}
): RelayLinks => {
  const links = new Map<string, RelayLink>()
  /** Links to former members that still have pending requests. */
  const retiredLinks = new Set<RelayLink>()
  const clock = createAwakeClock(maxTickGapMs)
  const awakeMs = () => clock.awakeMs(performance.now())
  let readinessNeededUntilMs = -Infinity
  let isSelfDoubted = false

  const linkTo = ({ address, name: peer }: Member): RelayLink => {
    const existing = links.get(address)
    if (existing !== undefined) return existing
    if (links.size >= maxLinks) retain(new Set())
    const link = createRelayLink(address, channels, awakeMs, {
      onDown: loss => {
        count('lost')
        log(events.peerLost, { peer, address, ...loss })
      },
      onSuspected: silence => {
        count('suspected')
        log(events.peerSuspected, { peer, address, ...silence })
      },
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
      count('memberLeft')
      log(events.linkClosed, { address, reason: 'memberLeft' })
    })
  }

  /** Whether so many peers are silent at once that the fault is more likely here. */
  const updateSelfDoubt = (allLinks: readonly RelayLink[]) => {
    const contacts = allLinks.map(link => link.contact())
    const silent = contacts.filter(contact => contact === 'silent').length
    const heard = contacts.filter(contact => contact === 'heard').length
    const wasSelfDoubted = isSelfDoubted
    isSelfDoubted = doubtsItself({ silent, heard })
    if (!isSelfDoubted || wasSelfDoubted) return
    count('manySilent')
    log(events.manyPeersSilent, { silent, heard })
  }

  const stopTicks = startTicks(tickIntervalMs, () => {
    clock.tick(performance.now())
    const allLinks = [...links.values(), ...retiredLinks]
    updateSelfDoubt(allLinks)
    const isReadinessNeeded = performance.now() < readinessNeededUntilMs
    const plan = planPings({ memberCount: memberCount(), linkCount: links.size, isReadinessNeeded })
    for (const link of allLinks) link.tick(plan, isSelfDoubted)
  })

  return {
    call: (peer, request, timeoutMs) => linkTo(peer).call(request, timeoutMs),
    isUsable: ({ address }) => links.get(address)?.isUsable() ?? true,
    isSuspected: ({ address }) => links.get(address)?.isSuspected() ?? false,
    isConnected: peer => linkTo(peer).isConnected(),
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
