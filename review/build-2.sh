#!/bin/sh
# Builds what the cases 4 to 8 start beside the controller: the front end for build tools, and the
# cases' own programs with the project's stand-ins in them. The controller is built with the command
# of deploy/service.toml before.
set -e
cd "$(dirname "$0")/.."
go build -o target/micaspindle-reapi ./cmd/micaspindle-reapi
for n in 4 5 6 7 8; do
	if [ -d "review/$n" ]; then
		go build -o "target/review-$n" "./review/$n"
	fi
done
