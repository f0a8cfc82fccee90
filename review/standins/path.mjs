/**
 * A network path to one address that can be cut without a word, like a partition: while it is cut nothing passes, and
 * bytes that were already sent are held up. After the cut they arrive, unless their sender has reset the connection
 * meanwhile; a connection that its sender closed in the usual way still delivers them. What a connection that is opened
 * during the cut sends never arrives, because its opening would not have.
 */
import { connect, createServer } from 'node:net'

/** Starts a path that listens on `host` and `port`. `onEvent` gets a text for each event on a connection. */
export const startPath = async (host, port, target, onEvent) => {
  const [targetHost, targetPort] = target.split(':')
  const links = new Set()
  let isCut = false

  const deliver = link => {
    if (isCut || link.isDropped) return
    for (const chunk of link.toTarget.splice(0)) link.outgoing.write(chunk)
    for (const chunk of link.toSource.splice(0)) if (!link.incoming.destroyed) link.incoming.write(chunk)
    if (link.hasSourceEnded) link.outgoing.end()
    if (link.hasTargetEnded && !link.incoming.destroyed) link.incoming.end()
  }
  const drop = link => {
    link.isDropped = true
    link.incoming.destroy()
    link.outgoing?.destroy()
    links.delete(link)
  }

  const server = createServer({ allowHalfOpen: true }, incoming => {
    const link = {
      incoming, toTarget: [], toSource: [], hasSourceEnded: false, hasTargetEnded: false, isDropped: isCut
    }
    incoming.on('data', chunk => {
      if (link.isDropped) return
      if (isCut) onEvent(`${chunk.length} bytes held up`)
      link.toTarget.push(chunk)
      deliver(link)
    })
    incoming.on('end', () => {
      if (isCut && !link.isDropped) onEvent('the sender closed a connection with bytes held up, without a reset')
      link.hasSourceEnded = true
      if (link.isDropped) incoming.end()
      else deliver(link)
    })
    incoming.on('error', error => {
      if (isCut && !link.isDropped) onEvent(`the sender reset a connection (${error.code}); its bytes are dropped`)
      drop(link)
    })
    if (isCut) return
    links.add(link)
    link.outgoing = connect({ host: targetHost, port: Number(targetPort), allowHalfOpen: true, noDelay: true })
    link.outgoing.on('data', chunk => {
      link.toSource.push(chunk)
      deliver(link)
    })
    link.outgoing.on('end', () => {
      link.hasTargetEnded = true
      deliver(link)
    })
    link.outgoing.on('error', () => drop(link))
    link.outgoing.on('close', () => links.delete(link))
  })
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return {
    address: `${host}:${port}`,
    cut: () => { isCut = true },
    heal: () => {
      isCut = false
      for (const link of links) deliver(link)
    },
    close: () => {
      server.close()
      for (const link of links) drop(link)
    }
  }
}
