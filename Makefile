# The first target lists all; .ci/run calls check.
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

# Every benchmark once, but for the largest sizes: one that is broken is seen. What is
# measured this way is no figure.
.PHONY: bench-once
BENCHED = $(sort $(dir $(shell grep -rl --include='*_test.go' '^func Benchmark' cmd internal)))
bench-once: ## every benchmark once, but for the largest sizes
	go test -short -run '^$$' -bench . -benchtime 1x $(addprefix ./,$(BENCHED))

# The controller as deploy/service.toml does; the others need not link to libc.
# The links are the programs' former names, kept for one release.
build: ## all programs into target/
	go build -ldflags='-linkmode=external -s -w' -o target/micaspindle ./cmd/micaspindle
	go build -o target/ ./cmd/micaspindlectl ./cmd/micaspindle-devcluster ./cmd/micaspindle-reapi ./cmd/micaspindle-regress
	ln -sfn micaspindlectl target/spindlectl
	ln -sfn micaspindle-devcluster target/spindlelab
	ln -sfn micaspindle-reapi target/spindlegate
	ln -sfn micaspindle-regress target/spindleregress

# A cluster on loopback that runs jobs, loses its leader and ends by itself.
demo: build ## a cluster on loopback that loses its leader and ends by itself (20 s)
	target/micaspindle-devcluster demo

# A build of real actions through two REAPI front ends, one of which is killed.
demo-build: build ## a build of real actions through two REAPI front ends
	target/micaspindle-devcluster demo-build

# What the users' bench says of the sources, against its journal (docs/regression.md).
# It needs the kit, which is not in the repository: make regress WHY="..." KIT=FOLDER
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
# Overload and failure scenarios of the project's own: half of every class and team is served.
FLEET = more/fleet/ombili-admissions-fleet.toml more/fleet/bilet-ordasy-fleet.toml
regress-scenarios: build ## the project's own overload and failure scenarios
	target/micaspindle-regress scenarios --kit $(KIT) --why "$(WHY)" $(FLEET)

# Scenarios in which two faults coincide, then the bench's random searches, on the operators' sites for these.
regress-fault-search: build ## scenarios in which two faults coincide, and random searches
	target/micaspindle-regress fault-search --kit $(KIT) --why "$(WHY)" $(FAULT_SEARCH)

# The former names of targets, kept for one release.
regress-night: regress-scenarios
regress-hunt: regress-fault-search
