/**
 * Client side of the wire protocol: a caller's connection to a gateway.
 */
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { createLineReader } from '@egretyoke/platform/testing'

const replyTimeoutMs = 4000
const connectTimeoutMs = 2000

/**
 * Reply to one statement. `error` is the error code and `message` its text, empty on success; `state` is the session
 * state from READY.
 */
export type StatementReply = { error: string, message: string, signature: string, rows: string[], state: string }

/** A caller's open connection. Only one statement may be in flight at a time. */
export type CallerConnection = {
  /** Sends a line; resolves to undefined when the connection closes or the timeout expires before any reply line. */
  send: (line: string, timeoutMs?: number) => Promise<StatementReply | undefined>
  close: () => void
  isOpen: () => boolean
}

const parseReply = (lines: readonly string[]): StatementReply => {
  const reply: StatementReply = { error: '', message: '', signature: '', rows: [], state: 'I' }
  for (const line of lines) {
    const [word, first = ''] = line.split(' ')
    if (word === 'ROW') reply.rows.push(line.slice('ROW '.length))
    if (word === 'COMPLETE') reply.signature = first
    if (word === 'ERROR') {
      reply.error = first
      reply.message = line.slice(`ERROR ${first} `.length)
    }
    if (word === 'READY') reply.state = first
  }
  return reply
}

/** Sends lines on a socket and collects the reply lines to each, up to READY. */
const createLineConnection = (socket: Socket): CallerConnection => {
  const reader = createLineReader()
  let lines: string[] = []
  let resolveReply: ((reply: StatementReply | undefined) => void) | undefined
  const finish = (reply: StatementReply | undefined) => {
    const resolvePending = resolveReply
    resolveReply = undefined
    lines = []
    resolvePending?.(reply)
  }
  socket.on('data', chunk => {
    for (const line of reader.push(chunk).unwrapOr([])) {
      lines.push(line)
      if (line.startsWith('READY')) finish(parseReply(lines))
    }
  })
  socket.on('error', () => socket.destroy())
  socket.on('close', () => finish(lines.length > 0 ? parseReply(lines) : undefined))

  const send = async (line: string, timeoutMs = replyTimeoutMs) => {
    const timer = setTimeout(() => socket.destroy(), timeoutMs)
    const reply = new Promise<StatementReply | undefined>(resolve => { resolveReply = resolve })
    if (socket.destroyed) finish(undefined)
    else socket.write(`${line}\r\n`)
    return await reply.finally(() => clearTimeout(timer))
  }
  return { send, close: () => socket.destroy(), isOpen: () => !socket.destroyed }
}

/** Opens a session on a loopback port; resolves to undefined when the connection or START fails. */
export const openCallerConnection = async (
  port: number, database: string, key: string
): Promise<CallerConnection | undefined> => {
  const connection = createLineConnection(connect({ host: '127.0.0.1', port, noDelay: true }))
  const reply = await connection.send(`START ${database} ${key}`, connectTimeoutMs)
  if (reply !== undefined && reply.error === '' && connection.isOpen()) return connection
  connection.close()
  return undefined
}
