#!/usr/bin/env bash
# Runs the case "cut-readers". Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/standin-2 cut-readers target/magpielug "review/7/record.txt"
