#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption; the program reads it.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
[ -d review/target/lab-3 ] && [ -f target/carobhoist.jar ] || exit 2
exec timeout -s TERM 118 java -Xmx256m -cp review/target/lab-3 lab.PartRead review/11/record.txt
