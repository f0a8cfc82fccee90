/**
 * Runs the platform program from the compiled modules in the same way as its bundle does. A SIGHUP handler is installed
 * first, because loading the modules takes time and a changed settings file must not terminate the process meanwhile.
 */
process.on('SIGHUP', () => {})
const { runPlatformProgram } = await import('@egretyoke/platform/testing')
await runPlatformProgram()
