#!/usr/bin/env bash
# One node and its backend; another writer sends one odd heartbeat (not with TROUBLE=0), and some
# seconds later the backend drains.
cd "$(dirname "$0")/../.." || exit 2
. review/stand-ins-3/lib.sh review/12
[ -x target/briarreel-mesh ] && [ -x build-review-3/store ] && [ -x build-review-3/backend ] || cannot_run "not built"
ip=$(free_address) || cannot_run "no free address"
store_addr=$ip:18101
drain_ms=2000

cat >"$dir/config" <<'END'
{"version":"00000001","baseVersion":"00000000","resources":[{"entryKind":"routes","metadata":{"name":"safe"},"specification":{"host":"h.example","prefix":"/safe/","kind":"safe","timeout":"1500ms","latencyTarget":"1500ms","priority":1,"service":"svc","attempts":2,"public":true}},{"entryKind":"services","metadata":{"name":"svc"},"specification":{"healthPath":"/health","connectionLimit":50,"protocol":"h1","tls":false}},{"entryKind":"limits","metadata":{},"specification":{"headerBytes":16384,"bodyBytes":1000000,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]}
END
# The store's program has a target of its own, which is not used and reports nothing.
start store build-review-3/store --store "$store_addr" --target "$ip:18120" --report "$ip:18121" --id unused
wait_for 5 200 PUT "$store_addr" /operator/state/mute || cannot_run "no store"
[ "$(http PUT "$store_addr" "/operator/config/$dir/config")" = 200 ] || cannot_run "no configuration"
write_settings "$dir/node.conf" "$ip" "$store_addr" node-1 svc true
start_node node "$dir/node.conf"
start backend build-review-3/backend "$ip:18107" "$ip:18105" i-7f3a91c2 svc "$dir/backend.log"
wait_for 10 200 GET "$ip:18106" /readiness || cannot_run "the node is not ready"

n=0
send() { # sends one request; its id is in $id
	n=$((n + 1))
	id=a$n
	say "request $id sent"
	say "request $id answered $(http GET "$ip:18108" /safe/x "X-Attempt-Id: $id\r\nX-Deadline-Milliseconds: 1500\r\n")"
}
wait_for 10 200 GET "$ip:18108" /safe/x "X-Attempt-Id: first\r\nX-Deadline-Milliseconds: 1500\r\n" ||
	cannot_run "no request is served"
# Two more sound heartbeats.
sleep 3.2

if [ "${TROUBLE:-1}" != 0 ]; then
	born=$(awk '/ born / { print $1 }' "$dir/backend.log")
	# No zone and version; the time is a number without a unit.
	odd="{\"service\":\"svc\",\"address\":\"$ip:18107\",\"slots\":8,\"state\":\"ready\",\"coldRemaining\":0,\"sequence\":100000,\"born\":$born}"
	say "another writer's heartbeat: $odd"
	say "its answer: $(http PUT "$ip:18105" /instances/i-7f3a91c2 'Content-Type: application/json\r\n' "$odd")"
	sleep 3.2
fi
send

say "the backend drains"
kill -USR1 "$backend"
acked=
for _ in $(seq 40); do
	acked=$(awk '/ heartbeat draining 200$/ { print $1; exit }' "$dir/backend.log")
	[ -n "$acked" ] && break
	sleep 0.1
done
[ -n "$acked" ] || cannot_run "the draining was not acknowledged"
say "its draining was acknowledged at $acked"
while [ "$(date +%s%3N)" -lt $((acked + drain_ms + 4000)) ]; do
	send
	sleep 0.15
done

sed 's/^/backend: /' "$dir/backend.log" >>"$record"
late=$(awk -v limit=$((acked + drain_ms)) '$2 == "run" && $1 > limit' "$dir/backend.log" | wc -l)
say "requests that reached the backend more than $drain_ms ms after the acknowledgement: $late"
[ "$late" -eq 0 ]
