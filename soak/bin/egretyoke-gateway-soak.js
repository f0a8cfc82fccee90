#!/usr/bin/env node
import { runSoakProgram } from '../dist/soak-program.js'

process.exit(await runSoakProgram(process.argv.slice(2)))
