#!/usr/bin/env bash
# Two nodes with the backends of two services. The operator splits a route over both by the weights 0.9 and
# 0.1 (9 and 1 with TROUBLE=0), and takes a key away with the version after that.
cd "$(dirname "$0")/../.." || exit 2
. review/stand-ins-3/lib.sh review/11
[ -x target/briarreel-mesh ] && [ -x build-review-3/store ] && [ -x build-review-3/backend ] || cannot_run "not built"
net=$(free_network 2) || cannot_run "no free addresses"
store_addr=$net.1:18101
revocation_ms=5000
first=0.9 second=0.1
[ "${TROUBLE:-1}" != 0 ] || first=9 second=1

write_config() { # FILE VERSION SERVICES KEYS
	cat >"$1" <<END
{"version":"$2","baseVersion":"00000000","resources":[{"entryKind":"routes","metadata":{"name":"keyed"},"specification":{"host":"h.example","prefix":"/keyed/","kind":"safe","timeout":"1500ms","latencyTarget":"1500ms","priority":1,"service":"svc","attempts":2,"public":false}},{"entryKind":"routes","metadata":{"name":"split"},"specification":{"host":"h.example","prefix":"/split/","kind":"safe","timeout":"1500ms","latencyTarget":"1500ms","priority":1,$3,"attempts":2,"public":true}},{"entryKind":"services","metadata":{"name":"svc"},"specification":{"healthPath":"/health","connectionLimit":50,"protocol":"h1","tls":false}},{"entryKind":"services","metadata":{"name":"svc2"},"specification":{"healthPath":"/health","connectionLimit":50,"protocol":"h1","tls":false}},{"entryKind":"tenants","metadata":{"name":"acme"},"specification":{"apiKeys":[$4],"priority":1,"ratePerS":0,"burst":0}},{"entryKind":"limits","metadata":{},"specification":{"headerBytes":16384,"bodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]}
END
}
split="\"weightedServices\":[{\"service\":\"svc\",\"weight\":$first},{\"service\":\"svc2\",\"weight\":$second}]"
write_config "$dir/config1" 00000001 '"service":"svc"' '"kept","taken"'
write_config "$dir/config2" 00000002 "$split" '"kept","taken"'
write_config "$dir/config3" 00000003 "$split" '"kept"'

start store build-review-3/store --store "$store_addr" --target "$net.1:18120" --report "$net.1:18121" --id unused
wait_for 5 200 PUT "$store_addr" /operator/state/mute || cannot_run "no store"
[ "$(http PUT "$store_addr" "/operator/config/$dir/config1")" = 200 ] || cannot_run "no configuration"

request() { # NODE ID KEY: prints the status
	http GET "$net.$1:18108" /keyed/x "X-Attempt-Id: $2\r\nX-Deadline-Milliseconds: 1500\r\nApi-Key: $3\r\n"
}
write_settings "$dir/1.conf" "$net.1" "$store_addr" node-1 svc true
write_settings "$dir/2.conf" "$net.2" "$store_addr" node-2 svc2 true
start_node node1 "$dir/1.conf"
start_node node2 "$dir/2.conf"
start backend1 build-review-3/backend "$net.1:18107" "$net.1:18105" i-1 svc "$dir/backend1.log"
start backend2 build-review-3/backend "$net.2:18107" "$net.2:18105" i-2 svc2 "$dir/backend2.log"
for n in 1 2; do
	wait_for 10 200 GET "$net.$n:18106" /readiness || cannot_run "node $n is not ready"
	for _ in $(seq 100); do [ "$(request "$n" "first$n" taken)" = 200 ] && break; sleep 0.1; done
done
sleep 2

http PUT "$store_addr" "/operator/config/$dir/config2" >/dev/null
say "version 2 splits a route by the weights $first and $second"
sleep 3
for i in $(seq 20); do
	say "request s$i on the split route answered $(http GET "$net.1:18108" /split/x "X-Attempt-Id: s$i\r\n")"
done
http PUT "$store_addr" "/operator/config/$dir/config3" >/dev/null
acked=$(date +%s%3N)
say "version 3, which takes the key away, was acknowledged at $acked"
while [ "$(date +%s%3N)" -lt $((acked + 2 * revocation_ms)) ]; do
	for n in 1 2; do
		i=$((${i:-0} + 1))
		sent=$(date +%s%3N)
		say "request k$i with the key, sent at $sent to node $n, answered $(request "$n" "k$i" taken)"
	done
	sleep 0.2
done

for n in 1 2; do sed "s/^/backend $n: /" "$dir/backend$n.log" | grep -v heartbeat >>"$record"; done
ran=0
while read -r id sent; do
	[ "$sent" -gt $((acked + revocation_ms)) ] || continue
	grep -qh " run $id " "$dir"/backend?.log && ran=$((ran + 1))
done < <(sed -n 's/.* request \(k[0-9]*\) with the key, sent at \([0-9]*\) .*/\1 \2/p' "$record")
say "requests with the key that were sent later than $revocation_ms ms after the acknowledgement, and ran: $ran"
[ "$ran" -eq 0 ]
