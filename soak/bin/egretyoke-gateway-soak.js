#!/usr/bin/env node
import { runSoakProgram } from '../dist/soak/soak-program.js'

process.exit(await runSoakProgram(process.argv.slice(2)))
