#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
# Needs the build of deploy/system.toml and review/build-2.sh. Writes record.txt beside this file.
set -u
cd "$(dirname "$0")/../.."
if [ ! -s target/class-path.options ] || [ ! -f target/review-2/SilentStore.class ]; then
  echo "build first: bin/build-deployment and review/build-2.sh" >&2
  exit 2
fi
exec "$(bin/find-java)/bin/java" -cp target/review-2 SilentStore review/10
