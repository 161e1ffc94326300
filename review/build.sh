#!/usr/bin/env bash
# Builds the program that runs the cases. It contains all stand-ins: the clients, the targets, and the
# project's own stand-in of the platform's store (platform/standin).
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-cases ./review/_cases
