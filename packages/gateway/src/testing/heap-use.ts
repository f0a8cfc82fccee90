/**
 * What a test's objects take of the heap.
 */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/** Bytes of the heap that are in use after a collection. */
export const usedHeapBytes = (): number => {
  collectGarbage()
  return process.memoryUsage().heapUsed
}
