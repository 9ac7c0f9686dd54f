#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
exec "$(dirname "$0")/../common-3/run-case" leaving_forgotten "$(dirname "$0")"
