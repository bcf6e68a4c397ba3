# The cases of the benchmark; sourced by lane.sh. Each gets the name of its files and starts a load.

# Steady load within all rates.
case_steady() {
	plan "$OUT/$1.plan.json" "$(phase_json steady 5000 800 0 a)"
	load "$1"
}

# The same while the platform is away.
case_platform() {
	plan "$OUT/$1.plan.json" "$(phase_json platform 5000 800 0 a)"
	[ "$SIDE" = baseline ] || curl -s -o /dev/null -X POST "http://$PLATFORM/standin/fault?mode=down"
	load "$1"
	wait "$LOAD_PID"
	[ "$SIDE" = baseline ] || curl -s -o /dev/null -X POST "http://$PLATFORM/standin/fault?mode=up"
}

# The first account, which is large, sends ten times its rate.
case_greedy() {
	plan "$OUT/$1.plan.json" "$(phase_json greedy 5000 600 0 a 1)"
	load "$1"
}

# A surge of four times the capacity, during whose second part the deepest service is slow.
surge() {
	plan "$OUT/$1.plan.json" "$(phase_json before 3000 800 "$2" w)" \
		"$(phase_json overload 3000 4000 3 w)" "$(phase_json slow 2500 4000 3 w)" \
		"$(phase_json after 7000 800 "$2" w)"
	load "$1"
	at_ms 6000
	deep_control "slow?factor=$SLOW_FACTOR"
	at_ms 8500
	deep_control 'slow?factor=1'
}

case_surge() { surge "$1" 0; }
case_surgeretry() { surge "$1" 3; }
