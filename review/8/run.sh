#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/bin/oriolerail-platform-entry ] && [ -x ../../target/review-2/case-8 ] || exit 2
exec timeout --kill-after=5 115 ../../target/review-2/case-8 "$PWD/../../target/bin" "${TROUBLE:-1}"
