/**
 * A primary that reads the wire protocol by its published rules alone and shares no code with the product: fields are
 * separated by one blank each, and the last one extends to the end of the line. It records what each statement ran as.
 */
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

/** One data statement or commit as the database ran it. */
export type StatementRun = {
  requestId: string
  connection: number
  workspace: string
  /** The received text, without the position that precedes it. */
  text: string
  /** Access and shape of the prepared statement; empty for other statements. */
  prepared: string
  /** What follows the name of a prepared statement. */
  operands: string
  /** Session values, as `name=value` in the order of the names. */
  values: string[]
  /** Number of the open transaction, 0 outside of one. */
  transaction: number
}

/** A running database. */
export type PlainDatabase = {
  address: string
  runs: StatementRun[]
  /** Numbers of the transactions that were committed. */
  committed: Set<number>
  close: () => void
}

type Answer = { rows?: string[], error?: string }

/** Starts the database on a free loopback port. */
export const startPlainDatabase = async (): Promise<PlainDatabase> => {
  const runs: StatementRun[] = []
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
      const pairs = [...values].map(([key, value]) => `${key}=${value}`).sort()
      runs.push({ requestId, connection, workspace, text, prepared: shape, operands, values: pairs, transaction })
      position++
      return { rows: text.startsWith('READ ') || shape.startsWith('READ ') ? [`of ${requestId}`] : [] }
    }
    const end = (isCommit: boolean): Answer => {
      if (isCommit) committed.add(transaction)
      state = 'I'
      transaction = 0
      return {}
    }
    const begin = (): Answer => {
      state = 'T'
      transaction = ++transactionCount
      return {}
    }

    const answer = (requestId: string, text: string): Answer => {
      if (text === 'STATUS') return { rows: [`primary 1 1.${position} 0 0 0 ${sockets.size}`] }
      if (text === 'RESET') {
        values.clear()
        prepared.clear()
        return {}
      }
      if (text === 'BEGIN' || text === 'BEGIN READ') return begin()
      if (text === 'ROLLBACK') return end(false)
      if (text === 'COMMIT') {
        recordRun(requestId, text)
        return end(true)
      }
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
      const [, name, operands] = /^EXECUTE ([^ ]+) ([^]*)$/.exec(text) ?? []
      if (name !== undefined) return recordRun(requestId, text, name, operands)
      return { error: 'MALFORMED' }
    }

    return (requestId: string, text: string): string => {
      const { rows = [], error } = answer(requestId, text.replace(/^AFTER [^ ]+ /, ''))
      const lines = rows.map(row => `ROW ${row}`)
      lines.push(error === undefined ? `COMPLETE plain.${runs.length}` : `ERROR ${error} refused`)
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
