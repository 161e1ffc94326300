#!/bin/sh
# Builds the stand-ins of cases 11 to 15 into target/.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/kit3 ./review/_kit3
