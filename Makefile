# The checks of the README; .ci/run calls the same target.
.PHONY: check build
check: build
	test -z "$$(gofmt -l cmd internal)"
	go vet ./...
	go test -race ./...

# As deploy/service.toml does.
build:
	go build -ldflags=-linkmode=external -o target/micaspindle ./cmd/micaspindle
