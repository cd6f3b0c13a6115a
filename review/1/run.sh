#!/usr/bin/env bash
# Plays the case resume: exit 1 where the rule was broken, 0 where it held, 2 where it could not be played. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/mallowbridge ] && [ -x ../../target/review/standin ] || exit 2
exec ../../target/review/standin resume "$(cd ../.. && pwd)" record.txt
