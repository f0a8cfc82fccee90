/**
 * A primary that reads the wire protocol by its published rules alone and shares no code with the product: fields are
 * separated by one blank each, and the last one extends to the end of the line. It records what each statement ran as.
 */
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

/** One data statement or commit as the database ran it. */
export type RecordedStatement = {
  requestId: string
  connection: number
  workspace: string
  /** The received text, without the position that precedes it. */
  text: string
  /** Access and shape of the prepared statement; empty for other statements. */
  prepared: string
  /** What follows the name of a prepared statement. */
  operands: string
  /** Session values: JSON of each name and value, sorted. */
  values: string[]
  /** Number of the open transaction, 0 outside of one. */
  transaction: number
  signature: string
}

/** A running database. */
export type PlainDatabase = {
  address: string
  runs: RecordedStatement[]
  /** Numbers of the transactions that were committed. */
  committed: Set<number>
  close: () => void
}

type Answer = { rows?: string[], error?: string, signature?: string }

/** Starts the database on a free loopback port. */
export const startPlainDatabase = async (): Promise<PlainDatabase> => {
  const runs: RecordedStatement[] = []
  const committed = new Set<number>()
  const sockets = new Set<Socket>()
  let connectionCount = 0
  let transactionCount = 0
  let position = 1

  const openConnection = (workspace: string) => {
    const connection = ++connectionCount
    const values = new Map<string, string>()
    const prepared = new Map<string, string>()
    let state: 'I' | 'T' | 'E' = 'I'
    let transaction = 0

    const recordRun = (requestId: string, text: string, name?: string, operands = ''): Answer => {
      const shape = name === undefined ? '' : prepared.get(name)
      if (shape === undefined) return { error: 'NOSTMT' }
      const pairs = [...values].map(pair => JSON.stringify(pair)).sort()
      const signature = `plain.${runs.length + 1}`
      runs.push({
        requestId, connection, workspace, text, prepared: shape, operands, values: pairs, transaction, signature
      })
      position++
      const isRead = text.startsWith('READ ') || shape.startsWith('READ ')
      return { rows: isRead ? [`of ${requestId}`] : [], signature }
    }
    const begin = (): Answer => {
      if (state !== 'I') return { error: 'MALFORMED' }
      state = 'T'
      transaction = ++transactionCount
      return {}
    }
    const commit = (requestId: string): Answer => {
      if (state === 'I') return { error: 'MALFORMED' }
      const isCommitted = state === 'T'
      const answer = isCommitted ? recordRun(requestId, 'COMMIT') : { error: 'ABORTED' }
      if (isCommitted) committed.add(transaction)
      return rollBack(answer)
    }
    const rollBack = (answer: Answer = {}): Answer => {
      state = 'I'
      transaction = 0
      return answer
    }
    const reset = (): Answer => {
      values.clear()
      prepared.clear()
      return {}
    }

    const answerText = (requestId: string, text: string): Answer => {
      if (text === 'COMMIT') return commit(requestId)
      if (text === 'ROLLBACK') return rollBack()
      if (state === 'E') return { error: 'MALFORMED' }
      if (text === 'STATUS') return { rows: [`primary 1 1.${position} 0 0 0 ${sockets.size}`] }
      if (text === 'RESET') return reset()
      if (text === 'BEGIN' || text === 'BEGIN READ') return begin()
      if (/^READ [^ ]/.test(text) || /^WRITE [^ ]+ /.test(text)) return recordRun(requestId, text)
      const [, setName, value] = /^SET ([^ ]+) ([^]*)$/.exec(text) ?? []
      if (setName !== undefined) {
        values.set(setName, value)
        return {}
      }
      const [, preparedName, shape] = /^PREPARE ([^ ]+) ((?:READ|WRITE) [^]+)$/.exec(text) ?? []
      if (preparedName !== undefined) {
        prepared.set(preparedName, shape)
        return {}
      }
      const [, dropped] = /^DEALLOC ([^ ]+)$/.exec(text) ?? []
      if (dropped !== undefined) return prepared.delete(dropped) ? {} : { error: 'NOSTMT' }
      const [, name, operands] = /^EXECUTE ([^ ]+) ([^]*)$/.exec(text) ?? []
      return name === undefined ? { error: 'MALFORMED' } : recordRun(requestId, text, name, operands)
    }

    return (requestId: string, text: string): string => {
      const { rows = [], error, signature = '-' } = answerText(requestId, text.replace(/^AFTER [^ ]+ /, ''))
      if (error !== undefined && state === 'T') state = 'E'
      const lines = rows.map(row => `ROW ${row}`)
      lines.push(error === undefined ? `COMPLETE ${signature}` : `ERROR ${error} refused`)
      return [...lines, `READY ${state} 1.${position}`, ''].join('\r\n')
    }
  }

  const serve = (socket: Socket) => {
    let received = ''
    let query: ReturnType<typeof openConnection> | undefined
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
    socket.on('error', () => socket.destroy())

    const answerLine = (line: string) => {
      const [, workspace] = /^START [^ ]+ ([^ ]+)/.exec(line) ?? []
      if (workspace !== undefined && query === undefined) {
        query = openConnection(workspace)
        return socket.write(`READY I 1.${position}\r\n`)
      }
      const [, requestId, text] = /^QUERY ([^ ]+) ([^]*)$/.exec(line) ?? []
      if (requestId === undefined || query === undefined) return socket.end('ERROR MALFORMED expected QUERY\r\n')
      socket.write(query(requestId, text))
    }
    socket.on('data', chunk => {
      received += chunk.toString('latin1')
      const lines = received.split('\r\n')
      received = lines.pop() ?? ''
      for (const line of lines) answerLine(Buffer.from(line, 'latin1').toString('utf8'))
    })
  }

  const server = createServer(serve)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    runs,
    committed,
    close: () => {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}
