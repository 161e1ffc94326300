#!/bin/sh
# Runs the case from the root of the repository, after the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/restore review/7
