#!/usr/bin/env bash
# Runs the case; claim.txt says what it shows. Exit code: 1 the rule was broken, 0 it held, 2 the case
# could not run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/magpielug ] && [ -x target/review-standin ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-standin -case expiry -node target/magpielug -record "$here/record.txt" -trouble="$trouble" -retention 300s
