# `make run` starts the embedded single-process default; `make test` runs every check.
.PHONY: run build test tools fmt generate docs cluster

build:
	go build -o bin/peridotwinch ./cmd/peridotwinch

run: build
	./bin/peridotwinch dev

# tools installs what the checks need beyond the Go toolchain.
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

# cluster lays out the settings of seven daemons in three failure domains.
cluster: build
	./bin/peridotwinch layout -out cluster examples/seven-instances/inventory.json
