#!/usr/bin/env node
import { runServerProgram } from '@egretyoke/common'
import { platformProgram } from '../dist/programs.js'

await runServerProgram(platformProgram)
