#!/usr/bin/env node
import { runServerProgram } from '@egretyoke/common'
import { databaseProgram } from '../dist/programs.js'

await runServerProgram(databaseProgram)
