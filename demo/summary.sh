#!/bin/sh
# Prints what a run of the demo has shown, from the reports of its load tests in a directory, each with its exit code in a file of the same name.
# The exit code is 0 if everything was as expected.
set -eu
work=$1
expected=yes

# violations REPORT: prints the number of consistency violations in a report, or "unknown".
violations() {
	sed -n 's/^consistency violations: \([0-9]*\);.*/\1/p' "$work/$1.out" | grep . || echo unknown
}

# refusals REPORT: prints how many operations were refused, by reason.
refusals() {
	awk '/^refused: /{printf "%s%s %s", sep, $NF, $(NF-1); sep=", "} END{if (sep == "") printf "none"; print ""}' "$work/$1.out"
}

# operations REPORT: prints how many operations were served.
operations() {
	awk '/^operation /{table=1; next} /^(refused|failed|replica|longest|consistency)/{table=0} table{n+=$(NF-4)} END{print n+0}' "$work/$1.out"
}

# show REPORT CODE TITLE: prints a line for a report, which is expected to have an exit code.
show() {
	code=$(cat "$work/$1.code" 2>/dev/null || echo none)
	broken=$(violations "$1")
	echo "  $3: $(operations "$1") served, refused: $(refusals "$1"); consistency violations: $broken"
	if [ "$code" != "$2" ] || [ "$broken" != 0 ]; then
		echo "    not as expected: exit code $code instead of $2"
		expected=no
	fi
}

echo
echo "--- summary"
echo "started: a stand-in for the platform's store, a database group of three endpoints, three instances"
echo "done to it: a change of the configuration that removed the caller of a workspace while it sent"
echo "seen:"
show first 0 "technicians before the change"
show visitors 6 "visitors, whose sessions can't be verified once their caller is removed"
show second 0 "technicians after the change"
if [ "$expected" = yes ]; then
	echo "as expected. Read next: docs/operators/README.md to run it, docs/architecture.md to change it"
	exit 0
fi
echo "NOT as expected"
exit 1
