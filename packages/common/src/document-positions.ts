/**
 * Finds the line and column of a value in a JSON text, by its offset or by its path.
 */
import { findNodeAtLocation, parseTree } from 'jsonc-parser'
import type { Node } from 'jsonc-parser'

/** A position in a text. Lines and columns count from 1. */
export type TextPosition = { line: number, column: number }

/** Path from the root of a document: field names and array indices. */
export type DocumentPath = Array<string | number>

const lineStartsOf = (text: string): number[] => {
  const starts = [0]
  for (let index = text.indexOf('\n'); index >= 0; index = text.indexOf('\n', index + 1)) starts.push(index + 1)
  return starts
}

/** Creates a function that returns the position of an offset. Each lookup takes logarithmic time. */
export const createOffsetLocator = (text: string): ((offset: number) => TextPosition) => {
  const lineStarts = lineStartsOf(text)
  return offset => {
    let low = 0
    let high = lineStarts.length - 1
    while (low < high) {
      const middle = Math.ceil((low + high) / 2)
      if (lineStarts[middle] <= offset) low = middle
      else high = middle - 1
    }
    return { line: low + 1, column: offset - lineStarts[low] + 1 }
  }
}

/** Returns the node at a path or, when it does not exist, its nearest existing ancestor. */
export const nearestNode = (root: Node, path: DocumentPath): Node => {
  for (let length = path.length; length > 0; length--) {
    const node = findNodeAtLocation(root, path.slice(0, length))
    if (node) return node
  }
  return root
}

/** Creates a function that returns the position of the value at a path, or of its nearest existing ancestor. */
export const createPathLocator = (text: string): ((path: DocumentPath) => TextPosition) => {
  const root = parseTree(text, [], { allowTrailingComma: true })
  const locateOffset = createOffsetLocator(text)
  return path => locateOffset(root ? nearestNode(root, path).offset : 0)
}
