#!/bin/sh
# Play plain days, each of which has one fault, and print what each fault costs.
#
#	plain_days.sh [-s seed] [-w why] bench site [list]
#
# The list has a line "kind:how:share:for_s:other" for each day.  Empty fields
# are left out of the day file; "other" is added to the fault as it is.  The
# fault comes at 6.3 s and again at 19.4 s.  Run in the repository: the bench
# measures it, and writes its entries into journal/.
usage() {
	echo "usage: ${0##*/} [-s seed] [-w why] bench site [list]" >&2
	exit 2
}

seed=1
why="plain days"
while getopts s:w: option; do
	case $option in
	s) seed=$OPTARG ;;
	w) why=$OPTARG ;;
	*) usage ;;
	esac
done
shift $((OPTIND - 1))
[ $# -ge 2 ] || usage
bench=$1
site=$2
list=${3:-$(dirname "$0")/plain-days.txt}
work=$(mktemp -d) || exit 1
trap 'rm -rf "$work"' EXIT
trap 'exit 1' HUP INT TERM

# Print one field of a fault, unless it is empty.
field() {
	[ -z "$2" ] || printf ', %s = %s' "$1" "$2"
}

# Print a fault at a time, from the fields of a line of the list.
fault() {
	printf '  { at = %s, kind = "%s"' "$1" "$kind"
	field how "${how:+\"$how\"}"
	field share "$share"
	field for_s "$for_s"
	printf '%s },\n' "${other:+, $other}"
}

# Print the day file.
day() {
	echo 'name = "plain-day"'
	echo 'slot = "trouble"'
	case $kind in
	release|roll_term|replace_core|add_nodes|config_*|big_config|hup)
		echo 'faults = []'
		echo 'plan = ['
		;;
	*)
		echo 'plan = []'
		echo 'faults = ['
		;;
	esac
	fault 6.3
	fault 19.4
	echo ']'
}

# Print worth, the share served and the broken rules from the journal entry that
# a report names.
figures() {
	id=$(sed -n 's/^snapshot //p' "$1")
	[ -n "$id" ] || return 1
	cat journal/*-"$id".json | sed -n '/"name":"plain-day"/ {
		s/.*"figure":\([0-9.]*\),.*"rules":{\([^}]*\)},.*"served":\([0-9.]*\),.*/\1 \3 \2/p
	}' | awk '{
		printf "%6.3f  %6.3f  %s\n", $1, $2, $3 == "" ? "none" : $3
		n++
	} END { exit n != 1 }'
}

status=0
printf '%-50s  %6s  %6s  %s\n' fault worth served "rules broken"
while IFS=: read -r kind how share for_s other; do
	case $kind in
	''|'#'*) continue ;;
	esac
	name="$kind${how:+ $how}${share:+ $share}${for_s:+, $for_s s}"
	name="$name${other:+, $other}"
	day >"$work/day.toml"
	"$bench" run "$site" "$work/day.toml" --seed "$seed" --no-cpu \
	    --jobs 1 --why "$why: $name" >"$work/report" 2>"$work/errors" \
	    </dev/null
	if figures=$(figures "$work/report"); then
		printf '%-50s  %s\n' "$name" "$figures"
	else
		printf '%-50s  not played\n' "$name"
		cat "$work/report" "$work/errors" >&2
		status=1
	fi
done <"$list"
exit $status
