#!/bin/sh
# Builds the programs of the cases 6 to 10, which hold all stand-ins: those of the targets and clients, and the
# project's own stand-in of the store.
set -e
cd "$(dirname "$0")/.."
for program in term restore; do
	go build -o "target/review-2/$program" "./review/_kit2/$program"
done
