#!/bin/sh
# Runs the case from the root of the repository, after the build of the deploy file and review/build-2.sh. With
# TROUBLE=0 it does the same without the disruption. Exit code 1: the rule was broken; 0: it held; 2: it could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/clementinerock target/review-2/restore; do
	[ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec "target/review-2/restore" "review/7"
