# `make run` starts all roles in one process for development; `make test` runs all checks.
.PHONY: run build test tools fmt generate docs cluster

build:
	go build -o bin/peridotwinch ./cmd/peridotwinch

run: build
	./bin/peridotwinch dev

# tools installs the programs that the checks need in addition to the Go toolchain.
tools:
	@command -v spin >/dev/null && command -v protoc >/dev/null && command -v curl >/dev/null || \
	  (apt-get update -qq && apt-get install -y -qq spin protobuf-compiler curl)

test: tools
	./scripts/check

fmt:
	gofmt -w $$(git ls-files '*.go')

generate:
	./internal/rpc/generate.sh

docs:
	go run ./internal/tools/settingsdoc >docs/operations/settings.md

# cluster writes the settings files of seven daemons in three failure domains.
cluster: build
	./bin/peridotwinch layout -out cluster examples/seven-instances/inventory.json
