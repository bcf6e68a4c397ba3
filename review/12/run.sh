#!/usr/bin/env bash
# Three nodes with their backends. A key is taken away; five seconds later the store is away for a moment
# and comes back from a copy that is older than that change (not with TROUBLE=0). The keeper's process is
# killed meanwhile and started again. The operator writes the change again 0.3 s after the return.
cd "$(dirname "$0")/../.." || exit 2
. review/stand-ins-3/lib.sh review/12
[ -x target/briarreel-mesh ] && [ -x build-review-3/store ] && [ -x build-review-3/backend ] || cannot_run "not built"
net=$(free_network 3) || cannot_run "no free addresses"
store_addr=$net.1:18101
revocation_ms=5000

write_config() { # FILE VERSION KEYS
	cat >"$1" <<END
{"version":"$2","baseVersion":"00000000","resources":[{"entryKind":"routes","metadata":{"name":"keyed"},"specification":{"host":"h.example","prefix":"/keyed/","kind":"safe","timeout":"1500ms","latencyTarget":"1500ms","priority":1,"service":"svc","attempts":2,"public":false}},{"entryKind":"services","metadata":{"name":"svc"},"specification":{"healthPath":"/health","connectionLimit":50,"protocol":"h1","tls":false}},{"entryKind":"tenants","metadata":{"name":"acme"},"specification":{"apiKeys":[$3],"priority":1,"ratePerS":0,"burst":0}},{"entryKind":"limits","metadata":{},"specification":{"headerBytes":16384,"bodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]}
END
}
write_config "$dir/config1" 00000001 '"kept","taken"'
write_config "$dir/config2" 00000002 '"kept"'

start store build-review-3/store --store "$store_addr" --target "$net.1:18120" --report "$net.1:18121" --id unused
wait_for 5 200 PUT "$store_addr" /operator/state/mute || cannot_run "no store"
[ "$(http PUT "$store_addr" "/operator/config/$dir/config1")" = 200 ] || cannot_run "no configuration"

request() { # NODE ID KEY: prints the status
	http GET "$net.$1:18108" /keyed/x "X-Attempt-Id: $2\r\nX-Deadline-Milliseconds: 1500\r\nApi-Key: $3\r\n"
}
metric() { # NODE NAME
	local line
	exec 9<>"/dev/tcp/$net.$1/18119" || return
	printf 'GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&9
	while IFS= read -r -t 1 line <&9; do
		line=${line%$'\r'}
		[ "${line% *}" = "$2" ] && { echo "${line##* }"; break; }
	done
	exec 9>&-
} 2>/dev/null

for n in 1 2 3; do
	write_settings "$dir/first$n.conf" "$net.$n" "$store_addr" "node-$n" svc true
	write_settings "$dir/later$n.conf" "$net.$n" "$store_addr" "node-$n" svc false
	start "backend$n" build-review-3/backend "$net.$n:18107" "$net.$n:18105" "i-$n" svc "$dir/backend$n.log"
done
# The first one becomes the keeper.
start_node node1 "$dir/first1.conf"
for _ in $(seq 100); do [ "$(metric 1 briarreel_keeper)" = 1 ] && break; sleep 0.1; done
[ "$(metric 1 briarreel_keeper)" = 1 ] || cannot_run "node 1 has not become the keeper"
start_node node2 "$dir/first2.conf"
start_node node3 "$dir/first3.conf"
for n in 1 2 3; do
	wait_for 10 200 GET "$net.$n:18106" /readiness || cannot_run "node $n is not ready"
	for _ in $(seq 100); do [ "$(request "$n" "first$n" taken)" = 200 ] && break; sleep 0.1; done
done
sleep 2

[ "${TROUBLE:-1}" = 0 ] || http PUT "$store_addr" /operator/copy >/dev/null
sleep 0.1
http PUT "$store_addr" "/operator/config/$dir/config2" >/dev/null
acked=$(date +%s%3N)
say "the change that takes the key away was acknowledged at $acked"
sleep 2
for n in 1 2 3; do
	say "node $n answers $(request "$n" "gone$n" taken) with the key, $(request "$n" "kept$n" kept) with the other one"
done
while [ "$(date +%s%3N)" -lt $((acked + revocation_ms - 100)) ]; do sleep 0.02; done

if [ "${TROUBLE:-1}" != 0 ]; then
	say "the store is away"
	http PUT "$store_addr" /operator/fault/silent >/dev/null
fi
say "the keeper's process is killed"
kill -KILL "$node1"
wait "$node1" 2>/dev/null
sleep 0.6
if [ "${TROUBLE:-1}" != 0 ]; then
	http PUT "$store_addr" /operator/restore >/dev/null
	http PUT "$store_addr" /operator/fault/none >/dev/null
	say "the store is back, from a copy"
fi
back=$(date +%s%3N)

# client NUMBER: sends requests with the key to the node that has started again, one after the other.
client() {
	local n=0 sent status
	while [ "$(date +%s%3N)" -lt $((back + 2000)) ]; do
		n=$((n + 1))
		sent=$(date +%s%3N)
		status=$(request 1 "k$1.$n" taken)
		echo "$sent request k$1.$n with the key, sent at $sent, answered $status"
		[ "$status" = 000 ] && sleep 0.002
	done >"$dir/client$1"
}
clients=()
for c in 1 2 3 4 5 6; do
	client "$c" &
	clients+=($!)
done
start_node node1 "$dir/later1.conf"
say "the process is started again"
sleep 0.3
[ "${TROUBLE:-1}" = 0 ] || http PUT "$store_addr" "/operator/config/$dir/config2" >/dev/null
say "the operator has written the change again"
wait "${clients[@]}"
sort -n "$dir"/client? | grep -v 'answered 000' >>"$record"
say "with the other key: $(request 1 last kept)"

for n in 1 2 3; do sed "s/^/backend $n: /" "$dir/backend$n.log" | grep -v heartbeat >>"$record"; done
ran=0
while read -r id sent; do
	[ "$sent" -gt $((acked + revocation_ms)) ] || continue
	grep -qh " run $id " "$dir"/backend?.log && ran=$((ran + 1))
done < <(sed -n 's/.* request \(k[0-9.]*\) with the key, sent at \([0-9]*\),.*/\1 \2/p' "$record")
say "requests with the key that were sent later than $revocation_ms ms after the acknowledgement, and ran: $ran"
[ "$ran" -eq 0 ]
