#!/usr/bin/env node
import { runExperimentProgram } from '../dist/experiment-program.js'

await runExperimentProgram()
