#!/usr/bin/env node
import { runSoak } from '../dist/soak/soak.js'

process.exitCode = runSoak(process.argv.slice(2))
