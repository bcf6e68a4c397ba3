#!/usr/bin/env bash
# Nine nodes and their backends. One of the backends leaves with a DELETE while the store is silent; its node is killed and started
# again before the store answers; the leaving backend's health answers are false. With TROUBLE=0 the store
# answers all the time and the health answers are true; the node is killed and started again as well.
cd "$(dirname "$0")/../.." || exit 2
. review/stand-ins-3/lib.sh review/13
[ -x target/briarreel-mesh ] && [ -x build-review-3/store ] && [ -x build-review-3/backend ] || cannot_run "not built"
net=$(free_network 9) || cannot_run "no free addresses"
ip=$net.1
store_addr=$ip:18101
drain_ms=2000
touch_ms=3000

cat >"$dir/config" <<'END'
{"version":"00000001","baseVersion":"00000000","resources":[{"entryKind":"routes","metadata":{"name":"safe"},"specification":{"host":"h.example","prefix":"/safe/","kind":"safe","timeout":"1500ms","latencyTarget":"1500ms","priority":1,"service":"svc","attempts":2,"public":true}},{"entryKind":"services","metadata":{"name":"svc"},"specification":{"healthPath":"/health","connectionLimit":50,"protocol":"h1","tls":false}},{"entryKind":"limits","metadata":{},"specification":{"headerBytes":16384,"bodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]}
END
start store build-review-3/store --store "$store_addr" --target "$ip:18120" --report "$ip:18121" --id unused
wait_for 5 200 PUT "$store_addr" /operator/state/mute || cannot_run "no store"
[ "$(http PUT "$store_addr" "/operator/config/$dir/config")" = 200 ] || cannot_run "no configuration"
for n in 2 3 4 5 6 7 8 9; do
	write_settings "$dir/$n.conf" "$net.$n" "$store_addr" "node-$n" svc true
	start_node "node$n" "$dir/$n.conf"
	start "backend$n" build-review-3/backend "$net.$n:18107" "$net.$n:18105" "i-$n" svc "$dir/backend$n.log"
done
write_settings "$dir/first.conf" "$ip" "$store_addr" node-1 svc true
write_settings "$dir/later.conf" "$ip" "$store_addr" node-1 svc false
start_node node "$dir/first.conf"
start backend build-review-3/backend "$ip:18107" "$ip:18105" i-7f3a91c2 svc "$dir/backend.log"
wait_for 10 200 GET "$ip:18106" /readiness || cannot_run "the node is not ready"
wait_for 10 200 GET "$ip:18108" /safe/x "X-Attempt-Id: first\r\nX-Deadline-Milliseconds: 1500\r\n" ||
	cannot_run "no request is served"
sleep 3

if [ "${TROUBLE:-1}" != 0 ]; then
	say "the store is silent; the backend's health answers are false from now on"
	http PUT "$store_addr" /operator/fault/silent >/dev/null
	kill -USR2 "$backend"
fi
down=$(date +%s%3N)
sleep 0.3
say "the backend leaves: it sends DELETE, no more heartbeats, and goes on serving for some seconds"
kill -HUP "$backend"
acked=
for _ in $(seq 40); do
	acked=$(awk '/ leave .* 200$/ { print $1; exit }' "$dir/backend.log")
	[ -n "$acked" ] && break
	sleep 0.05
done
[ -n "$acked" ] || cannot_run "the leaving was not acknowledged"
say "its leaving was acknowledged at $acked"
sleep 0.3
say "the node is killed"
kill -KILL "$node"
wait "$node" 2>/dev/null
sleep 0.5
start_node node "$dir/later.conf"
say "the node is started again"
while [ "$(date +%s%3N)" -lt $((down + 3000)) ]; do sleep 0.05; done
if [ "${TROUBLE:-1}" != 0 ]; then
	http PUT "$store_addr" /operator/fault/none >/dev/null
	say "the store answers again"
fi
wait_for 10 200 GET "$ip:18106" /readiness || cannot_run "the node is not ready again"
# From here on the machine is in touch.
calm=$(($(date +%s%3N) + touch_ms))
while [ "$(date +%s%3N)" -lt $((down + 6000)) ]; do sleep 0.05; done
if [ "${TROUBLE:-1}" != 0 ]; then
	kill -USR2 "$backend"
	say "the backend's health answers are true again"
fi
while [ "$(date +%s%3N)" -lt $((calm + 200)) ]; do sleep 0.05; done
n=0
while [ "$(date +%s%3N)" -lt $((calm + 3000)) ]; do
	n=$((n + 1))
	say "request b$n sent"
	say "request b$n answered $(http GET "$ip:18108" /safe/x "X-Attempt-Id: b$n\r\nX-Deadline-Milliseconds: 1500\r\n")"
	sleep 0.01
done
sed 's/^/backend: /' "$dir/backend.log" >>"$record"
late=$(awk -v limit=$((acked + drain_ms)) '$2 == "run" && $1 > limit' "$dir/backend.log" | wc -l)
say "requests that reached the leaving backend more than $drain_ms ms after the acknowledgement: $late"
[ "$late" -eq 0 ]
