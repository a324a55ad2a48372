# Malformed datagrams to the service and unauthenticated ones to the control
# ports, then a change of the key without downtime.
net=75
. "$(dirname "$0")/begin.sh"
begin
for i in 1 2 3 4 5 6 7 8; do
	head -c $((i * 7)) /dev/urandom >"/dev/udp/127.$net.1.1/7400"
	head -c $((i * 7)) /dev/urandom >"/dev/udp/127.$net.2.1/7500"
	head -c $((i * 3)) /dev/zero >"/dev/udp/127.$net.0.1/5701"
	printf '\x7f\xff\xff\xff' >"/dev/udp/127.$net.0.1/5701"
done
head -c 64 /dev/urandom >"/dev/tcp/127.$net.1.1/7400"
sleep 1
for a in 127.$net.1.1:7400 127.$net.2.1:7500; do
	op counters "$a" | awk '$1 == "drop_unauthenticated" ||
	    $1 == "drop_unknown_kind" || $1 == "drop_malformed" { n += $2 }
	    END { print (n >= 8 ? "dropped and counted" : n) }'
done
od -An -N16 -tx1 /dev/urandom | tr -d ' \n' >"$lab/other"
echo >>"$lab/other"
sed "s#$lab/key#$lab/other#" "$lab/operator.json" >"$lab/stranger.json"
"$pw" status --settings "$lab/stranger.json"
echo "exit $?"
# Processes accept both keys during the change: each restarts with the old and
# the new key, then balancer 0 restarts with the new key first.
cat "$lab/other" >>"$lab/key"
for i in 0 1 2; do
	stop balancer$i
	balancer $i
	sleep 3
done
for i in 1 2 3 4; do
	stop agent-d$i
	agent d$i
	sleep 3
done
cat "$lab/other" "$lab/key" | head -n 2 >"$lab/both"
cp "$lab/both" "$lab/key"
stop balancer0
balancer 0
await 60 has_active_agents 4 && echo "4 agents are active"
callers clerks 3 clerk 8 "$at" desk 20
finish clerks
grep -l "$(cat "$lab/other")" "$lab"/*.log | wc -l
