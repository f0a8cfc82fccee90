/**
 * Plain HTTP listener for `/healthz`, `/readyz` and `/metrics`.
 */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { collectDefaultMetrics, Registry } from 'prom-client'
import { splitAddress } from './address.js'

/** A running health listener. `port` is the port that it is bound to. */
export type HealthServer = {
  port: number
  registry: Registry
  close: () => Promise<void>
}

/** Callbacks through which the health listener reads the state of its program. */
export type HealthChecks = {
  /** Returns the readiness shown at `/readyz`; false stops traffic to this VM. */
  isReady: () => boolean
}

/** Sampling interval of the event loop's delay; each sample wakes an idle process up. */
const eventLoopSampleMs = 1000

/** Creates a registry with the process's default metrics. */
export const createRegistry = (): Registry => {
  const registry = new Registry()
  collectDefaultMetrics({
    register: registry, prefix: 'egretyoke_', eventLoopMonitoringPrecision: eventLoopSampleMs
  })
  return registry
}

/** Starts the listener on HOST:PORT. Rejects when the address is in use. */
export const startHealthServer = async (
  address: string,
  checks: HealthChecks,
  registry: Registry = createRegistry()
): Promise<HealthServer> => {
  const server = createServer(async (request, response) => {
    if (request.url === '/healthz') return response.end('ok\n')
    if (request.url === '/readyz') {
      response.statusCode = checks.isReady() ? 200 : 503
      return response.end(checks.isReady() ? 'ready\n' : 'not ready\n')
    }
    if (request.url === '/metrics') {
      response.setHeader('content-type', registry.contentType)
      return response.end(await registry.metrics())
    }
    response.statusCode = 404
    response.end()
  })
  const { host, port } = splitAddress(address)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  const close = () => new Promise<void>(resolve => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
  return { port: (server.address() as AddressInfo).port, registry, close }
}
