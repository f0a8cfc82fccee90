/**
 * Parses JSON with comments and validates it against a zod schema. Every syntax and schema finding has a position. The
 * work is bounded by limits on the size of the text, its nesting and the number of findings.
 */
import {
  createScanner, findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode, SyntaxKind
} from 'jsonc-parser'
import type { Node, ParseError } from 'jsonc-parser'
import type { ZodError, ZodType } from 'zod'
import { createOffsetLocator, nearestNode } from './document-positions.js'
import type { DocumentPath } from './document-positions.js'
import type { Finding } from './findings.js'
import { Err, Ok } from './result.js'
import type { Result } from './result.js'

/** Maximum size of a text, in bytes. */
export const maxDocumentBytes = 1024 * 1024

/** Maximum nesting depth of objects and arrays. */
export const maxNestingDepth = 64

/** Maximum number of findings reported for one text. */
export const maxFindings = 200

/** Returns the offset of the first value nested deeper than `maxNestingDepth`; undefined when there is none. */
const findExcessiveNesting = (text: string): number | undefined => {
  const scanner = createScanner(text, true)
  let depth = 0
  for (let token = scanner.scan(); token !== SyntaxKind.EOF; token = scanner.scan()) {
    if (token === SyntaxKind.OpenBraceToken || token === SyntaxKind.OpenBracketToken) depth++
    if (token === SyntaxKind.CloseBraceToken || token === SyntaxKind.CloseBracketToken) depth--
    if (depth > maxNestingDepth) return scanner.getTokenOffset()
  }
}

function * duplicateKeys (node: Node): Generator<Node> {
  const seen = new Set<string>()
  for (const child of node.children ?? []) {
    const key = node.type === 'object' ? child.children?.[0] : undefined
    if (key && seen.has(key.value)) yield key
    if (key) seen.add(key.value)
    yield * duplicateKeys(child)
  }
}

type SchemaFinding = { offset: number, message: string }

function * schemaFindings (root: Node, error: ZodError): Generator<SchemaFinding> {
  for (const issue of error.issues) {
    const path: DocumentPath = issue.path.map(part => typeof part === 'symbol' ? String(part) : part)
    if (issue.code !== 'unrecognized_keys') {
      yield { offset: nearestNode(root, path).offset, message: `${path.join('.') || 'document'}: ${issue.message}` }
      continue
    }
    const parent = nearestNode(root, path)
    for (const key of issue.keys) {
      const node = findNodeAtLocation(parent, [key])
      yield { offset: node?.parent?.offset ?? parent.offset, message: `${[...path, key].join('.')}: unknown field` }
    }
  }
}

/** Parses and validates a text. Returns the typed value or up to `maxFindings` findings, which show `file` as name. */
export const readJsonWithComments = <T>(text: string, file: string, schema: ZodType<T>): Result<T, Finding[]> => {
  const start: Finding = { file, line: 1, column: 1, message: '' }
  if (Buffer.byteLength(text) > maxDocumentBytes) {
    return Err([{ ...start, message: `larger than ${maxDocumentBytes} bytes` }])
  }
  const locateOffset = createOffsetLocator(text)
  const findingAt = (offset: number, message: string): Finding => ({ file, ...locateOffset(offset), message })
  const deepOffset = findExcessiveNesting(text)
  if (deepOffset !== undefined) return Err([findingAt(deepOffset, `nested deeper than ${maxNestingDepth} levels`)])

  const errors: ParseError[] = []
  const root = parseTree(text, errors, { allowTrailingComma: true, disallowComments: false })
  if (errors.length > 0) {
    return Err(errors.slice(0, maxFindings).map(error => findingAt(error.offset, printParseErrorCode(error.error))))
  }
  if (!root) return Err([{ ...start, message: 'empty document' }])
  const findings: Finding[] = []
  for (const key of duplicateKeys(root)) {
    if (findings.length < maxFindings) findings.push(findingAt(key.offset, `duplicate field "${key.value}"`))
  }
  const validated = schema.safeParse(getNodeValue(root))
  if (validated.success && findings.length === 0) return Ok(validated.data)
  if (validated.success) return Err(findings)
  for (const { offset, message } of schemaFindings(root, validated.error)) {
    if (findings.length >= maxFindings) break
    findings.push(findingAt(offset, message))
  }
  return Err(findings)
}
