#!/usr/bin/env bash
# Regenerates the committed RPC code from the .proto files; needs protoc.
# Usage: generate.sh [OUTPUT-FOLDER]
set -euo pipefail
out=$(realpath "${1:-$(dirname "$0")}")
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin" google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
for proto in */*.proto; do
  PATH="$bin:$PATH" protoc --go_out="$out" --go_opt=paths=source_relative \
    --go-drpc_out="$out" --go-drpc_opt=paths=source_relative "$proto"
done
