# Plans of standin-load for the benchmark; sourced by lane.sh.

# Parts of the demand of the eight accounts in percent: two are large.
SHARES=(30 25 10 10 8 7 5 5)

account_key() { echo "bench-key-of-account-$1"; }

# stream NAME ACCOUNT PRIORITY PERCENT: one stream; PERCENT is a part of the phase's rate.
stream_json() {
	printf '{"name": "%s", "key": "%s", "path": "/%s/p%s", "rate_per_s": %s, "connections": %s, "deadline_ms": %s, "request_id": "same-on-retry", "retries": %s}' \
		"$1" "$(account_key "$2")" "${SERVICES[0]}" "$3" "$4" "$5" "$DEADLINE_MS" "$6"
}

# phase NAME MS PERMILLE RETRIES PREFIX [GREEDY]: a phase with a demand of PERMILLE of the capacity.
# Large accounts send 15% at priority 0, 45% at 2 and 40% at 5; small ones at one priority each. The
# demand at priority 0 stays below the capacity of the slowed service during the surge.
phase_json() {
	local name=$1 ms=$2 permille=$3 retries=$4 prefix=$5 greedy=${6:-0} i rate out= per
	local total=$((CAPACITY * permille))
	for i in 1 2 3 4 5 6 7 8; do
		per=$((total * SHARES[i - 1] / 100))
		[ "$i" = "$greedy" ] && per=$((per * 15))
		case $i in
		1 | 2)
			out+=$(stream_json "$prefix$i.p0" "$prefix$i" 0 "$(milli $((per * 15 / 100)))" 24 "$retries"),
			out+=$(stream_json "$prefix$i.p2" "$prefix$i" 2 "$(milli $((per * 45 / 100)))" 40 "$retries"),
			out+=$(stream_json "$prefix$i.p5" "$prefix$i" 5 "$(milli $((per * 40 / 100)))" 40 "$retries"),
			;;
		3 | 4 | 7 | 8) out+=$(stream_json "$prefix$i.p2" "$prefix$i" 2 "$(milli "$per")" 48 "$retries"), ;;
		5 | 6) out+=$(stream_json "$prefix$i.p5" "$prefix$i" 5 "$(milli "$per")" 40 "$retries"), ;;
		esac
	done
	printf '{"name": "%s", "duration_ms": %d, "streams": [%s]}' "$name" "$ms" "${out%,}"
}

milli() { printf '%d.%03d' $(($1 / 1000)) $(($1 % 1000)); }

# plan FILE PHASE...: writes a plan of the given phases.
plan() {
	local file=$1 IFS=,
	shift
	printf '{"phases": [%s]}\n' "$*" >"$file"
}

plan_warm() { plan "$1" "$(phase_json warm 1500 600 0 w)" "$(phase_json warm-a 1000 600 0 a)"; }
