#!/usr/bin/env bash
# Builds the stand-ins and drivers of the script cases of the third review into bin/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
source=$(mktemp -d)
trap 'rm -rf "$source"' EXIT
for file in review/harness-3/*.go.txt; do
	cp "$file" "$source/$(basename "$file" .txt)"
done
mkdir -p bin
go build -o bin/review-3 "$source"/*.go
