#!/usr/bin/env bash
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/cranereach ] && [ -x target/review-2/stand-ins ] || { echo "build first: the build of the deploy file and review/build-2.sh" >&2; exit 2; }
exec target/review-2/stand-ins brittle review/6
