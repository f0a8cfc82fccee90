/**
 * Runs the program as its bundle does, from the compiled modules: loading takes a while, and until then a changed
 * settings file must not end the process.
 */
process.on('SIGHUP', () => {})
const { runPlatformProgram } = await import('@egretyoke/platform/testing')
await runPlatformProgram()
