#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start, from the sources in review/harness-2. The sources end in .go.txt,
# since the project's own checks take in every .go file of the tree. Only the standard library is used.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for file in review/harness-2/*.txt; do
	cp "$file" "$folder/$(basename "$file" .txt)"
done
out=$PWD/target/standins-2
cd "$folder"
GOFLAGS=-mod=mod GOWORK=off go build -o "$out" .
