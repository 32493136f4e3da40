#!/usr/bin/env bash
# Builds the stand-ins and the other programs of the project that the cases start. The controller
# is built before with the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./cmd/micaspindle-reapi
mkdir -p target/review
for case in review/[0-9]*/; do
	go build -o "target/review/$(basename "$case")" "./$case"
done
