#!/bin/sh
# Starts the stand-ins and three instances on loopback, publishes a configuration, runs a workload and prints the result.
set -eu
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'kill $(cat "$work"/*.pid 2>/dev/null) 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$work"' EXIT INT TERM
mkdir "$work/bin" "$work/objects"
go build -o "$work/bin" ./cmd/...

# spawn NAME PROGRAM ARGUMENTS: starts a program in the background, with its output, log and process ID in files of that name.
spawn() {
	name=$1
	shift
	"$@" >"$work/$name.out" 2>"$work/$name.log" &
	echo $! >"$work/$name.pid"
}

# await NAME WORD: prints the rest of the output line that starts with the word; gives up after 10 s.
await() {
	for _ in $(seq 100); do
		found=$(sed -n "s/^$2 //p" "$work/$1.out")
		if [ -n "$found" ]; then
			echo "$found"
			return
		fi
		sleep 0.1
	done
	echo "$1 did not start:" >&2
	cat "$work/$1.log" >&2
	exit 1
}

spawn store "$work/bin/standin" store
store=$(await store control)
spawn group "$work/bin/standin" group --vendor postgres --slots 5 --connections 80 --cost 12ms \
	--domain fi-south/a,se-east/a,de-north/a --domains 1500us --regions 8ms
await group control >"$work/control"
set -- $(await group endpoint)

export SISKINCOVE_STORE="$store"
sed -e "s/ADDRESS0/$1/; s/ADDRESS1/$2/; s/ADDRESS2/$3/" demo/objects.toml >"$work/objects/objects.toml"
cp demo/visitors.toml "$work/objects/"
verifier=$(echo demo-password | "$work/bin/siskincove" verifier)
sed -i -e "s|VERIFIER|$verifier|g" "$work"/objects/*.toml
"$work/bin/siskincove" check "$work/objects"
"$work/bin/siskincove" publish "$work/objects" --note "first configuration"

callers= health= n=0
for domain in fi-south/a se-east/a de-north/a; do
	port=$((21000 + n * 10))
	cat >"$work/i$n.toml" <<SETTINGS
[instance]
id = "i$n"
domain = "$domain"
[listen]
callers = "127.0.0.1:$port"
peers = "127.0.0.1:$((port + 1))"
health = "127.0.0.1:$((port + 2))"
[store]
address = "$store"
[token]
keys = ["a key for the demonstration"]
SETTINGS
	spawn "i$n" "$work/bin/siskincoved" "$work/i$n.toml"
	callers="$callers,127.0.0.1:$port" health="$health,127.0.0.1:$((port + 2))"
	n=$((n + 1))
done
for _ in $(seq 100); do
	if "$work/bin/siskincove" status $(echo "$health" | tr , ' ') 2>/dev/null | grep -c 'ready=true.*peers=2' | grep -q 3; then break; fi
	sleep 0.1
done
"$work/bin/siskincove" status $(echo "$health" | tr , ' ')

# load NAME CALLER RATE DURATION SEED [FLAGS]: runs a load test as a caller, with its report and exit code in files of that name; tests on
# the same database need different seeds.
load() {
	code=0
	SISKINCOVE_LOAD_PASSWORD=demo-password "$work/bin/siskincove" load --callers "${callers#,}" --health "${health#,}" \
		--caller "$2" --service certstore --main cert1 --history cert1-history --mix kelloviisari --rate "$3" --duration "$4" --sessions 30 --seed "$5" ${6:-} \
		>"$work/$1.out" 2>"$work/$1.log" || code=$?
	echo "$code" >"$work/$1.code"
}

echo "--- technicians send 150 operations a second for 10 s"
load first technician 150 10s 1 "--probe 20ms"
cat "$work/first.out"

echo "--- visitors send 60 operations a second; after 5 s their caller is removed"
load visitors visitor 60 10s 2 --quiet &
echo $! >"$work/visitors.pid"
sleep 5
rm "$work/objects/visitors.toml"
"$work/bin/siskincove" plan "$work/objects" || true
"$work/bin/siskincove" publish "$work/objects" --note "visitors removed"
load second technician 150 5s 3 --quiet
wait "$(cat "$work/visitors.pid")" || true
cat "$work/visitors.out"
sh demo/summary.sh "$work"
