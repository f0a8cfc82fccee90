#!/usr/bin/env node
import { runServerProgram } from '@egretyoke/common'
import { entryProgram } from '../dist/index.js'

await runServerProgram(entryProgram)
