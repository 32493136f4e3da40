# The checks of the README; .ci/run calls the same target.
.PHONY: check build demo demo-build regress regress-full regress-night regress-hunt
check: build
	test -z "$$(gofmt -l cmd internal)"
	go vet ./...
	go tool staticcheck -checks all ./...
	target/spindleregress tests
	$(MAKE) bench-once

# Every benchmark once, but for the largest sizes: one that is broken is seen. What is
# measured this way is no figure.
.PHONY: bench-once
BENCHED = $(sort $(dir $(shell grep -rl --include='*_test.go' '^func Benchmark' cmd internal)))
bench-once:
	go test -short -run '^$$' -bench . -benchtime 1x $(addprefix ./,$(BENCHED))

# The controller as deploy/service.toml does; the others need not link to libc.
build:
	go build -ldflags='-linkmode=external -s -w' -o target/micaspindle ./cmd/micaspindle
	go build -o target/ ./cmd/spindlectl ./cmd/spindlelab ./cmd/spindlegate ./cmd/spindleregress

# A cluster on loopback that runs jobs, loses its leader and ends by itself.
demo: build
	target/spindlelab demo

# A build of real actions through two gates, one of them killed in the middle.
demo-build: build
	target/spindlelab demo-build

# What the users' bench says of the sources, against its journal (docs/regression.md).
# It needs the kit, which is not in the repository: make regress WHY="..." KIT=FOLDER
KIT ?= ../given/kit
SMALL = sites/ombili-admissions.toml sites/bilet-ordasy.toml
LARGE = next/ombili-admissions-grown.toml next/bilet-ordasy-grown.toml \
	change/ombili-admissions-next.toml change/bilet-ordasy-next.toml $(FLEET)
OPS = more/ombili-admissions-ops.toml more/bilet-ordasy-ops.toml
HUNT = more/hunt/ombili-admissions-hunt.toml more/hunt/bilet-ordasy-hunt.toml
regress: build
	target/spindleregress run --kit $(KIT) --why "$(WHY)" $(LARGE)
regress-full: build
	target/spindleregress run --full --kit $(KIT) --why "$(WHY)" $(SMALL) $(LARGE) $(OPS) $(HUNT)
# The project's own hard days on the large deployments: half of every class and team.
FLEET = more/fleet/ombili-admissions-fleet.toml more/fleet/bilet-ordasy-fleet.toml
regress-night: build
	target/spindleregress night --kit $(KIT) --why "$(WHY)" $(FLEET)

# Days on which two troubles meet, and the bench's hunts, on the operators' hunt sites.
regress-hunt: build
	target/spindleregress hunt --kit $(KIT) --why "$(WHY)" $(HUNT)
