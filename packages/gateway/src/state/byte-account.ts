/**
 * Account of the bytes that a process holds for callers. It answers callers that make a process hold more than its VM
 * has: half messages, requests sent ahead, answers that are not read, session state.
 *
 * The account is a tree: the process, its workspaces, and their connections. Bytes are reserved in a part and counted
 * in all parts above it, so that each part has a bound of its own, and one workspace cannot use the bytes of another.
 * Bytes that have already arrived are reserved even beyond a bound; who reserves them then stops reading.
 */

/** What bytes are held for. */
export const memoryKinds = ['received', 'statements', 'answers', 'sessionState', 'relayed'] as const

/**
 * What bytes are held for: `received` are those not yet handled, `statements` those of statements in progress,
 * `relayed` those of other gateways' statements.
 */
export type MemoryKind = typeof memoryKinds[number]

/** Bounds of a part: of all its bytes together, and of single kinds. */
export type AccountBounds = {
  maxBytes: number
  maxBytesByKind?: Partial<Record<MemoryKind, number>>
  /** False if nothing below this part can be closed, so that `largest` passes it over. */
  isClosable?: boolean
}

/** One part of the account. */
export type ByteAccount = {
  name: string
  /** Bound of this part's bytes together. */
  maxBytes: number
  heldBytes: (kind?: MemoryKind) => number
  /** Reserves bytes, even beyond a bound. */
  reserve: (kind: MemoryKind, bytes: number) => void
  /** Reserves bytes unless this part or one above it would exceed a bound; returns whether they are reserved. */
  tryReserve: (kind: MemoryKind, bytes: number) => boolean
  release: (kind: MemoryKind, bytes: number) => void
  /** The lowest part, from this one upwards, that holds more than its bound times the factor. */
  exceeded: (factor?: number) => ByteAccount | undefined
  /** Opens a part below this one. */
  open: (name: string, bounds: AccountBounds) => ByteAccount
  /** Puts this part, with what it holds, below another one. */
  moveTo: (parent: ByteAccount) => void
  /** The part at the lowest level that holds most, found by following the largest part of each level. */
  largest: () => ByteAccount
  /** Name and bytes of the part directly below this one that holds most. */
  largestChild: () => { name: string, heldBytes: number } | undefined
  /** Removes this part from the tree, and releases what it still holds. */
  close: () => void
}

/** A part with what only the account itself uses. */
type Node = ByteAccount & {
  isClosable: boolean
  children: Set<Node>
  parent: () => Node | undefined
  hasRoom: (kind: MemoryKind, bytes: number) => boolean
  add: (kind: MemoryKind, bytes: number) => void
}

const lineageOf = function * (node: Node): Generator<Node> {
  for (let next: Node | undefined = node; next !== undefined; next = next.parent()) yield next
}

const createNode = (name: string, bounds: AccountBounds, initialParent?: Node): Node => {
  const bytesByKind = new Map<MemoryKind, number>()
  const children = new Set<Node>()
  let parent = initialParent
  let totalBytes = 0

  const heldBytes = (kind?: MemoryKind) => kind === undefined ? totalBytes : bytesByKind.get(kind) ?? 0
  const add = (kind: MemoryKind, bytes: number) => {
    bytesByKind.set(kind, heldBytes(kind) + bytes)
    totalBytes += bytes
  }
  const hasRoom = (kind: MemoryKind, bytes: number) => totalBytes + bytes <= bounds.maxBytes &&
    heldBytes(kind) + bytes <= (bounds.maxBytesByKind?.[kind] ?? Infinity)
  const reserve = (kind: MemoryKind, bytes: number) => { for (const part of lineageOf(node)) part.add(kind, bytes) }

  const attach = (next: Node | undefined) => {
    parent?.children.delete(node)
    for (const [kind, bytes] of bytesByKind) parent?.release(kind, bytes)
    parent = next
    next?.children.add(node)
    for (const [kind, bytes] of bytesByKind) next?.reserve(kind, bytes)
  }

  const childWithMost = (isConsidered: (child: Node) => boolean) => {
    let most: Node | undefined
    for (const child of children) {
      if (isConsidered(child) && child.heldBytes() > (most?.heldBytes() ?? 0)) most = child
    }
    return most
  }

  const node: Node = {
    name,
    maxBytes: bounds.maxBytes,
    isClosable: bounds.isClosable ?? true,
    children,
    parent: () => parent,
    heldBytes,
    hasRoom,
    add,
    reserve,
    tryReserve: (kind, bytes) => {
      for (const part of lineageOf(node)) if (!part.hasRoom(kind, bytes)) return false
      reserve(kind, bytes)
      return true
    },
    release: (kind, bytes) => reserve(kind, -bytes),
    exceeded: (factor = 1) => {
      if (totalBytes > bounds.maxBytes * factor) return node
      return parent?.exceeded(factor)
    },
    open: (childName, childBounds) => {
      const child = createNode(childName, childBounds, node)
      children.add(child)
      return child
    },
    moveTo: next => attach(next as Node),
    largest: () => childWithMost(({ isClosable }) => isClosable)?.largest() ?? node,
    largestChild: () => {
      const most = childWithMost(() => true)
      return most && { name: most.name, heldBytes: most.heldBytes() }
    },
    close: () => attach(undefined)
  }
  return node
}

/** Creates the account of a process. */
export const createByteAccount = (bounds: AccountBounds): ByteAccount => createNode('process', bounds)
