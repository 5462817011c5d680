#!/bin/sh
# Scores installations one after the other and shows the table beside the last committed one.
#   config/score-sites.sh BENCH WHY SITE...
# BENCH is the users' bench, SITE a site file. The table goes to target/scores.txt; copy it to
# docs/SCORES.txt to commit it. A row: site, day, worth, share served, what was broken.
set -eu
bench=$1
why=$2
shift 2
cd "$(dirname "$0")/.."
mkdir -p target
table=target/scores.txt
: >"$table"
for site in "$@"; do
  name=$(basename "$site" .toml)
  log=target/score-$name.log
  "$bench" score "$site" --jobs "${JOBS:-3}" --why "$why" >"$log" 2>&1 || echo "$name ended with $?"
  # A day's row begins with its name and the number of machines; worth and served follow the score.
  awk -v site="$name" '$2 ~ /^[0-9]+\/[0-9]+$/ {
    broken = index($0, "BROKEN") ? substr($0, index($0, "BROKEN")) : "-"
    print site, $1, $4, $5, broken }' "$log" >>"$table"
  awk -v site="$name" '/^GATE/ { print site, $1, $2 }' "$log" >>"$table"
done
cat "$table"
if [ -f docs/SCORES.txt ]; then
  echo "changes against docs/SCORES.txt:"
  diff docs/SCORES.txt "$table" || true
fi
