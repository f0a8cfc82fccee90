#!/usr/bin/env node
import { runServerProgram } from '@egretyoke/common'
import { stewardProgram } from '../dist/program.js'

await runServerProgram(stewardProgram)
