#!/bin/sh
# Runs test programs that print TAP, shows what failed, and ends with one
# line "N passed, N failed".  A program that dies counts as a failure.  Tests
# that KNOWN-RED.txt names are shown, and do not fail the run.
passed=0
failed=0
red=0
out=$(mktemp)
for program in "$@"; do
	echo "== $program"
	"$program" --tap >"$out" 2>&1
	status=$?
	ok=$(grep -c '^ok ' "$out")
	passed=$((passed + ok))
	bad=0
	for name in $(sed -n 's/^not ok [0-9]* \([^ ]*\).*/\1/p' "$out"); do
		if grep -q "^test: $name\$" KNOWN-RED.txt 2>/dev/null; then
			red=$((red + 1))
			echo "known red: $name"
		else
			bad=$((bad + 1))
		fi
	done
	if [ "$status" -ne 0 ] && [ "$bad" -eq 0 ] &&
	    ! grep -q '^not ok ' "$out"; then
		bad=1
	fi
	[ "$bad" -gt 0 ] && cat "$out"
	grep -E '^(# )?(seed|steps|measured)' "$out"
	failed=$((failed + bad))
done
rm -f "$out"
[ "$red" -gt 0 ] && echo "known red: $red, see KNOWN-RED.txt"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
