#!/usr/bin/env node
import { runSessionsProgram } from '../dist/sessions-program.js'

process.exit(await runSessionsProgram(process.argv.slice(2)))
