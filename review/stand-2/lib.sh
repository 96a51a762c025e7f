# Helpers of the scripts: settings from the template of the deploy file, and
# daemons started with its command.

HERE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$HERE/../.." && pwd)
STAND=$ROOT/target/review-2
TROUBLE=${TROUBLE:-1}
WORK=$(mktemp -d) || exit 2
BASE=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
PORT=8783
PIDS=

[ -x "$ROOT/target/bergamotplank" ] || exit 2

finish() {
	for pid in $PIDS; do kill -CONT "$pid" 2>/dev/null; done
	for pid in $PIDS; do kill -KILL "$pid" 2>/dev/null; done
	for pid in $PIDS; do wait "$pid" 2>/dev/null; done
	rm -rf "$WORK"
}
trap finish EXIT
trap 'exit 2' INT TERM

# write_settings NAME IP ZONE: fill in deploy/settings.json.
write_settings() {
	sed -e "s/{{node|json}}/\"$1\"/" -e "s/{{zone|json}}/\"$3\"/" \
	    -e "s/{{bind-addrs.front|json}}/\"$2:8784\"/" \
	    -e "s/{{bind-addrs.ready|json}}/\"$2:8785\"/" \
	    -e "s/{{ip}}/$2/" -e "s/{{port-range.0}}/7440/" \
	    -e "s/{{platform.address|json}}/\"$BASE.1:$PORT\"/" \
	    -e "s/{{cloud.address}}/$BASE.1:$PORT/" \
	    -e "s/{{limits.cpu-share|json}}/0.25/" \
	    -e "s/{{bounds.grace-s|json}}/6/" \
	    -e "s/{{bounds.config-apply-ms|json}}/3000/" \
	    -e "s/{{bounds.drain-ms|json}}/7000/" \
	    "$ROOT/deploy/settings.json" >"$WORK/$1.yaml"
	! grep -q '{{' "$WORK/$1.yaml"
}

# start_daemon NAME IP ZONE: its pid goes to PID, and its log to the record's
# folder if KEEP is set.
start_daemon() {
	write_settings "$1" "$2" "$3" || exit 2
	cd "$ROOT" || exit 2
	target/bergamotplank proxy -f "$WORK/$1.yaml" \
	    >"${KEEP:-$WORK}/$1.log" 2>&1 &
	PID=$!
	PIDS="$PIDS $PID"
}
