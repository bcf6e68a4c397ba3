# The cases of the benchmark; sourced by lane.sh. Each gets the name of its files and starts a load.

# Steady load within all rates.
case_steady() {
	plan "$OUT/$1.plan.json" "$(phase_json steady 4500 800 0 a)"
	load "$1"
}

# The same while the platform is away.
case_platform() {
	plan "$OUT/$1.plan.json" "$(phase_json platform 4500 800 0 a)"
	[ "$SIDE" = baseline ] || curl -s -o /dev/null -X POST "http://$PLATFORM/standin/fault?mode=down"
	load "$1"
	wait "$LOAD_PID"
	[ "$SIDE" = baseline ] || curl -s -o /dev/null -X POST "http://$PLATFORM/standin/fault?mode=up"
}

# The first account, which is large, sends ten times its rate.
case_greedy() {
	plan "$OUT/$1.plan.json" "$(phase_json greedy 4500 600 0 a 1)"
	load "$1"
}

# A surge of four times the capacity, during whose second part the deepest service is slow.
surge() {
	plan "$OUT/$1.plan.json" "$(phase_json before 2500 800 "$2" w)" \
		"$(phase_json overload 4000 4000 3 w)" "$(phase_json slow 2500 4000 3 w)" \
		"$(phase_json after 6500 800 "$2" w)"
	load "$1"
	at_ms 6500
	deep_control "slow?factor=$SLOW_FACTOR"
	at_ms 9000
	deep_control 'slow?factor=1'
}

case_surge() { surge "$1" 0; }
case_surgeretry() { surge "$1" 3; }

# Parts of the fault cases; the demand is such that two of the three zones can serve it.
fault_plan() {
	plan "$OUT/$1.plan.json" "$(phase_json before 2500 500 "$3" a)" \
		"$(phase_json during "$2" 500 "$3" a)" "$(phase_json after 4000 500 "$3" a)"
}

# signal SIGNAL NUMBERS...: sends a signal to nodes and targets by their numbers.
signal() {
	local sig=$1 i name
	shift
	for i in "$@"; do
		for name in "PID_node$i" "PID_target$i"; do
			[ -z "${!name:-}" ] || kill "-$sig" "${!name}"
		done
	done
}

# All processes of the last zone are stopped (SIGSTOP) and go on later. Callers use the other zones'
# entry nodes, as callers of a zone that is cut off would.
case_zone() {
	fault_plan "$1" 4000 0
	load "$1" "${ENTRY[0]},${ENTRY[1]}"
	at_ms 2500
	signal STOP 2 5 8
	at_ms 6500
	signal CONT 2 5 8
}

# A target of the deepest service is killed and started anew; it is slow at first.
case_coldstart() {
	local name=PID_target$((2 * N_ZONES))
	fault_plan "$1" 2500 0
	load "$1"
	at_ms 2500
	kill -KILL "${!name}"
	wait "${!name}" 2>/dev/null
	at_ms 3000
	start_target 2 0 --cold-start-ms 2000
}

# Every node and target is stopped gracefully and started anew, zone by zone.
case_replace() {
	local z i s name
	fault_plan "$1" 24000 1
	load "$1"
	at_ms 2500
	for ((z = 0; z < N_ZONES; z++)); do
		for i in $z $((z + N_ZONES)) $((z + 2 * N_ZONES)); do
			for name in "PID_target$i" "PID_node$i"; do
				[ -z "${!name:-}" ] || kill -TERM "${!name}"
			done
		done
		for i in $z $((z + N_ZONES)) $((z + 2 * N_ZONES)); do
			for name in "PID_target$i" "PID_node$i"; do
				[ -z "${!name:-}" ] || wait "${!name}" 2>/dev/null
			done
			[ "$SIDE" = baseline ] || start_node $i
		done
		for s in 2 1 0; do start_target $s $z; done
		sleep 1.5
		echo "$DEPLOYMENT $SIDE: ${ZONES[z]} replaced after $(($(date +%s%3N) - CASE_START_MS)) ms" >>"$OUT/$1.log"
	done
	echo "$DEPLOYMENT $SIDE: replaced after $(($(date +%s%3N) - CASE_START_MS)) ms" >>"$OUT/$1.log"
}
