#!/usr/bin/env node
import { runLoadProgram } from '../dist/load-program.js'

await runLoadProgram()
