/**
 * Runs the program as its bundle does, from the compiled modules.
 */
import { runPlatformProgram } from '@egretyoke/platform/testing'

await runPlatformProgram()
