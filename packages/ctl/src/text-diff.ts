/**
 * Line-by-line differences between two texts.
 */

/** A line that is in only one of the texts, with its line number in that text, from 1. */
export type LineChange = { side: 'old' | 'new', line: number, text: string }

/** Maximum number of lines that are compared one by one, not counting equal lines at both ends. */
export const maxComparedLines = 2000

const markAll = (side: LineChange['side'], lines: string[], firstLine: number): LineChange[] =>
  lines.map((text, index) => ({ side, line: firstLine + index, text }))

/** Lengths of the longest common subsequences of all pairs of tails. */
const commonSuffixLengths = (left: string[], right: string[]): Uint16Array[] => {
  const lengths = Array.from({ length: left.length + 1 }, () => new Uint16Array(right.length + 1))
  for (let row = left.length - 1; row >= 0; row--) {
    for (let column = right.length - 1; column >= 0; column--) {
      lengths[row][column] = left[row] === right[column]
        ? lengths[row + 1][column + 1] + 1
        : Math.max(lengths[row + 1][column], lengths[row][column + 1])
    }
  }
  return lengths
}

function * compareLines (left: string[], right: string[], offset: number): Generator<LineChange> {
  const lengths = commonSuffixLengths(left, right)
  let row = 0
  let column = 0
  while (row < left.length || column < right.length) {
    if (row < left.length && left[row] === right[column]) {
      row++
      column++
    } else if (column === right.length || (row < left.length && lengths[row + 1][column] >= lengths[row][column + 1])) {
      yield { side: 'old', line: offset + row + 1, text: left[row++] }
    } else {
      yield { side: 'new', line: offset + column + 1, text: right[column++] }
    }
  }
}

const commonPrefixLength = (left: string[], right: string[]): number => {
  let count = 0
  while (count < Math.min(left.length, right.length) && left[count] === right[count]) count++
  return count
}

/** All lines that differ, in order. Above `maxComparedLines`, all old lines are followed by all new lines. */
export const diffTexts = (oldText: string, newText: string): LineChange[] => {
  const left = oldText.split('\n')
  const right = newText.split('\n')
  const start = commonPrefixLength(left, right)
  const end = commonPrefixLength(left.slice(start).reverse(), right.slice(start).reverse())
  const leftPart = left.slice(start, left.length - end)
  const rightPart = right.slice(start, right.length - end)
  if (Math.max(leftPart.length, rightPart.length) > maxComparedLines) {
    return [...markAll('old', leftPart, start + 1), ...markAll('new', rightPart, start + 1)]
  }
  return [...compareLines(leftPart, rightPart, start)]
}

/** Formats changes as `- LINE: text` and `+ LINE: text`. */
export const formatChanges = (changes: LineChange[]): string[] =>
  changes.map(({ side, line, text }) => `${side === 'old' ? '-' : '+'} ${line}: ${text}`)
