# The default target lists the targets. .ci/run calls check.
.PHONY: help
help:
	@grep -hE '^[a-z-]+:.*## ' $(MAKEFILE_LIST) | sed -E 's/^([a-z-]+):.*## /\1\t/' | expand -t 24

.PHONY: check build demo demo-build regress regress-full regress-scenarios regress-fault-search regress-night regress-hunt
check: build ## what CI runs: build, formatter, linters, tests with the race detector, benchmarks once
	test -z "$$(gofmt -l cmd docs internal)"
	go vet ./...
	go tool staticcheck -checks all ./...
	target/micaspindle-regress tests
	$(MAKE) bench-once

# Runs every benchmark once, without the largest sizes, to find broken ones. The times are not
# meant as measurements.
.PHONY: bench-once
BENCHED = $(sort $(dir $(shell grep -rl --include='*_test.go' '^func Benchmark' cmd internal)))
bench-once: ## every benchmark once, but for the largest sizes
	go test -short -run '^$$' -bench . -benchtime 1x $(addprefix ./,$(BENCHED))

# The controller is built with the command in deploy/service.toml; the other programs need not link
# to libc. The links are the former names of the programs, kept for one release.
build: ## all programs into target/
	go build -ldflags='-linkmode=external -s -w' -o target/micaspindle ./cmd/micaspindle
	go build -o target/ ./cmd/micaspindlectl ./cmd/micaspindle-devcluster ./cmd/micaspindle-reapi ./cmd/micaspindle-regress
	ln -sfn micaspindlectl target/spindlectl
	ln -sfn micaspindle-devcluster target/spindlelab
	ln -sfn micaspindle-reapi target/spindlegate
	ln -sfn micaspindle-regress target/spindleregress

# Starts a cluster on the loopback interface, runs jobs, kills the leader and exits.
demo: build ## a cluster on loopback that loses its leader and ends by itself (20 s)
	target/micaspindle-devcluster demo

# Runs a build of real actions through two REAPI front ends and kills one of them.
demo-build: build ## a build of real actions through two REAPI front ends
	target/micaspindle-devcluster demo-build

# Scores the sources with the users' benchmark and compares the scores with its journal
# (docs/regression.md). This needs the benchmark kit, which is not in the repository:
# make regress WHY="..." KIT=FOLDER
KIT ?= ../given/kit
SMALL = sites/ombili-admissions.toml sites/bilet-ordasy.toml
LARGE = next/ombili-admissions-grown.toml next/bilet-ordasy-grown.toml \
	change/ombili-admissions-next.toml change/bilet-ordasy-next.toml $(FLEET)
OPS = more/ombili-admissions-ops.toml more/bilet-ordasy-ops.toml
FAULT_SEARCH = more/hunt/ombili-admissions-hunt.toml more/hunt/bilet-ordasy-hunt.toml
regress: build ## quick scores of the users' bench against its journal (needs KIT and WHY)
	target/micaspindle-regress run --kit $(KIT) --why "$(WHY)" $(LARGE)
regress-full: build ## full scores of all sites, with searches
	target/micaspindle-regress run --full --kit $(KIT) --why "$(WHY)" $(SMALL) $(LARGE) $(OPS) $(FAULT_SEARCH)
# The project's own overload and failure scenarios. They check that half of every class and team is
# served.
FLEET = more/fleet/ombili-admissions-fleet.toml more/fleet/bilet-ordasy-fleet.toml
regress-scenarios: build ## the project's own overload and failure scenarios
	target/micaspindle-regress scenarios --kit $(KIT) --why "$(WHY)" $(FLEET)

# Runs scenarios in which two faults coincide, and then the benchmark's random fault searches, on the
# operators' sites for these searches.
regress-fault-search: build ## scenarios in which two faults coincide, and random searches
	target/micaspindle-regress fault-search --kit $(KIT) --why "$(WHY)" $(FAULT_SEARCH)

# Former names of targets, kept for one release.
regress-night: regress-scenarios
regress-hunt: regress-fault-search
