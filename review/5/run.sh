#!/usr/bin/env bash
# Plays the case "forgotten". Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 plays it without the disruption. Needs the build of deploy/system.toml and
# review/build.sh.
set -u
cd "$(dirname "$0")/../.."
if [ ! -x target/peridotwinch ] || [ ! -x bin/review-standin ]; then
  echo "build target/peridotwinch and run review/build.sh first" >&2
  exit 2
fi
exec bin/review-standin forgotten review/5/record.txt
