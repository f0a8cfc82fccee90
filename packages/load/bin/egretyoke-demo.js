#!/usr/bin/env node
import { runDemoProgram } from '../dist/demo-program.js'

await runDemoProgram()
