#!/usr/bin/env node
import { runServerProgram } from '@egretyoke/common'
import { linkProgram } from '../dist/programs.js'

await runServerProgram(linkProgram)
