/**
 * Log lines of egretyoke processes, read from files.
 */
import { readFile } from 'node:fs/promises'
import { Err, messageOf, Ok } from '@egretyoke/common'
import type { Finding, Result } from '@egretyoke/common'
import { z } from 'zod'

const lineSchema = z.looseObject({ time: z.string(), vm: z.string(), event: z.number(), name: z.string() })

/** A log line of an egretyoke process. */
export type LogLine = z.infer<typeof lineSchema> & { timeMs: number }

/** Parsed lines; `unreadable` counts the lines that are not log lines of egretyoke. */
export type LogLines = { lines: LogLine[], unreadable: number }

const parseLine = (text: string): LogLine | undefined => {
  const from = text.indexOf('{')
  if (from < 0) return undefined
  try {
    const parsed = lineSchema.safeParse(JSON.parse(text.slice(from)))
    if (!parsed.success) return undefined
    const timeMs = Date.parse(parsed.data.time)
    return Number.isNaN(timeMs) ? undefined : { ...parsed.data, timeMs }
  } catch {
    return undefined
  }
}

/** Parses the texts of log files. */
export const readLogLines = (texts: readonly string[]): LogLines => {
  const raw = texts.flatMap(text => text.split('\n')).filter(line => line.trim() !== '')
  const lines = raw.flatMap(line => parseLine(line) ?? [])
  return { lines, unreadable: raw.length - lines.length }
}

/** Reads and parses log files; a finding for each file that cannot be read. */
export const readLogFiles = async (files: readonly string[]): Promise<Result<LogLines, Finding[]>> => {
  const texts: string[] = []
  const unreadableFiles: Finding[] = []
  for (const file of files) {
    try {
      texts.push(await readFile(file, 'utf8'))
    } catch (thrown) {
      unreadableFiles.push({ file, line: 1, column: 1, message: messageOf(thrown) })
    }
  }
  return unreadableFiles.length > 0 ? Err(unreadableFiles) : Ok(readLogLines(texts))
}
