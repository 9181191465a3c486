#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. Their sources end in .go.txt, since the project's layout tests hold
# every .go file of the tree to the rules of its packages.
set -e
cd "$(dirname "$0")"
mkdir -p bin
out=$(pwd)/bin/harness
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
for source in harness/*.txt; do
	name=${source##*/}
	cp "$source" "$copy/${name%.txt}"
done
cd "$copy"
go build -o "$out" .
