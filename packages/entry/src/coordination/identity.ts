/**
 * Name and incarnation of this process. The incarnation increases with each start of a VM's process.
 */

/** Identity of this process. */
export type Identity = {
  vm: string
  dataCentre: string
  incarnation: () => number
  /** Raises the incarnation above the given one. Permitted only before the VM has served any request. */
  raiseAbove: (incarnation: number) => void
}

/** Creates an identity. Its incarnation is the wall time, so that a later start of the same VM has a higher one. */
export const createIdentity = (vm: string, dataCentre: string, wallMs: number = Date.now()): Identity => {
  let current = wallMs
  return {
    vm,
    dataCentre,
    incarnation: () => current,
    raiseAbove: other => { current = Math.max(current, other + 1) }
  }
}
