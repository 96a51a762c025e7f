#!/bin/sh
# Run test programs that write TAP, LANES of them at a time, as most only wait
# for processes.  Print the output of those that failed, and end with a line
# "N passed, N failed".  A program that a signal ended, or that exits with an
# error but reports no failed test, counts as one failure.  Failures of tests
# listed in KNOWN-RED.txt are printed but do not fail the run.
: "${LANES:=3}"
passed=0
failed=0
known_red=0
outputs=$(mktemp -d)
printf '%s\n' "$@" | xargs -P "$LANES" -n 1 sh -c '
	name=$(basename "$2")
	"$2" --tap >"$1/$name.output" 2>&1
	echo $? >"$1/$name.status"
	echo "ended: $2"' run "$outputs"
for program in "$@"; do
	echo "== $program"
	output=$outputs/$(basename "$program").output
	status=$(cat "${output%.output}.status" || echo 127)
	passes=$(grep -c '^ok ' "$output")
	passed=$((passed + passes))
	failures=0
	for name in $(sed -n 's/^not ok [0-9]* \([^ ]*\).*/\1/p' "$output"); do
		if grep -q "^test: $name\$" KNOWN-RED.txt 2>/dev/null; then
			known_red=$((known_red + 1))
			echo "known red: $name"
		else
			failures=$((failures + 1))
		fi
	done
	if [ "$status" -ge 126 ] ||
	    { [ "$status" -ne 0 ] && ! grep -q '^not ok ' "$output"; }; then
		echo "$program ended with status $status"
		failures=$((failures + 1))
	fi
	[ "$failures" -gt 0 ] && cat "$output"
	grep -E '^(# )?(seed|steps|measured)' "$output"
	failed=$((failed + failures))
done
rm -rf "$outputs"
[ "$known_red" -gt 0 ] && echo "known red: $known_red, see KNOWN-RED.txt"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
