/**
 * Texts that are kept for longer than the message in which they arrived.
 */
import { Buffer } from 'node:buffer'

/** A copy that keeps nothing else in memory: the runtime keeps the whole text from which another one was cut. */
export const detachedText = (text: string): string => Buffer.from(text).toString()
