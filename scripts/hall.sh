# Functions that run the flow balancers and agents on loopback addresses,
# together with standin-hall, which plays the store, targets, routers and
# callers. Set net, balancers and targets before sourcing this file, and
# balancer_sets if balancers are replaced by others at new addresses.
# shellcheck shell=bash
. scripts/lab.sh

# The balancers that run are those from this one on.
first_balancer=0
# Bounds in the settings of the processes, each followed by a comma.
bounds=""

flow_seeds() {
	echo "[\"127.$net.1.1:7700\", \"127.$net.1.2:7700\"]"
}

flow_balancer_settings() { # N, from 0
	local ip=127.$net.1.$(($1 + 1))
	cat >"$lab/flow-balancer$1.json" <<-JSON
	{"name": "b$1", "address": "$ip:7700", "domain": "z$(($1 % 3))",
	 "balancers": $(flow_seeds), "platform": "http://127.$net.0.1:8400",
	 "packets": "$ip:8172", "readiness": "$ip:8167", "grace_ms": 3000,
	 $bounds "log_lines": 200}
	JSON
}

flow_balancer() { # N, from 0
	flow_balancer_settings "$1"
	start "b$1" "$pw" balancer --flows --settings "$lab/flow-balancer$1.json"
}

flow_agent_settings() { # N, from 0
	local ip=127.$net.2.$(($1 + 1)) service=desk
	[ $(($1 % 2)) = 0 ] || service=store
	cat >"$lab/flow-agent$1.json" <<-JSON
	{"name": "a$1", "address": "$ip:7700", "domain": "z$(($1 % 3))",
	 "balancers": $(flow_seeds), "platform": "http://127.$net.0.1:8400",
	 "packets": "$ip:8172", "readiness": "$ip:8167", "service": "$service",
	 "target": "127.$net.3.$(($1 + 1)):8080", "target_packets": "$ip:8162",
	 "target_words": "$ip:8166", "word_period_ms": 400, $bounds
	 "log_lines": 200}
	JSON
}

flow_agent() { # N, from 0
	flow_agent_settings "$1"
	start "a$1" "$pw" agent --flows --settings "$lab/flow-agent$1.json"
}

hall_begin() { # CALLERS SEED
	lab_begin
	mkfifo "$lab/hall.in"
	"$build/tests/standin-hall" "$net" \
	    $((balancers * ${balancer_sets:-1})) "$targets" "$1" "$2" \
	    <"$lab/hall.in" >"$lab/hall.out" 2>"$lab/hall.err" &
	pid_of[hall]=$!
	pids+=("$!")
	exec 9>"$lab/hall.in"
	for ((n = 0; n < balancers; n++)); do flow_balancer $n; done
	for ((n = 0; n < targets; n++)); do flow_agent $n; done
}

# Send a command to standin-hall.
hall() { # COMMAND...
	echo "$*" >&9
}

# hall_answers N: wait until N more requests are answered. Fails after 300
# polls, about 60 s or longer.
hall_answers() {
	local first current i
	first=$(hall_field answers)
	for ((i = 0; i < 300; i++)); do
		current=$(hall_field answers)
		[ $((current - first)) -ge "$1" ] && return 0
		sleep 0.2
	done
	return 1
}

# Print a counter of standin-hall, after asking it for new values.
hall_field() { # NAME
	local lines i
	lines=$(wc -l <"$lab/hall.out")
	hall count
	for ((i = 0; i < 100; i++)); do
		[ "$(wc -l <"$lab/hall.out")" -gt "$lines" ] && break
		sleep 0.05
	done
	hall_last "$1"
}

# Print the version in force at each balancer that responds.
hall_versions() {
	local n
	for ((n = 0; n < balancers; n++)); do
		curl -s -m 2 \
		    "http://127.$net.1.$((first_balancer + n + 1)):7700/metrics" |
		    sed -n 's/^pw_version //p'
	done
}

# Stop all balancers as planned work, and start as many others, at addresses
# that no process knows, when they have ended. Fails if no addresses are left.
replace_balancers() {
	local n old=()
	[ $((first_balancer + balancers)) -lt \
	    $((balancers * ${balancer_sets:-1})) ] || return 1
	for ((n = first_balancer; n < first_balancer + balancers; n++)); do
		kill -CONT "${pid_of[b$n]}" 2>/dev/null
		kill -TERM "${pid_of[b$n]}" 2>/dev/null
		old+=("${pid_of[b$n]}")
	done
	wait "${old[@]}" 2>/dev/null
	first_balancer=$((first_balancer + balancers))
	for ((n = first_balancer; n < first_balancer + balancers; n++)); do
		flow_balancer $n
	done
}

hall_has_version_everywhere() {
	[ "$(hall_versions | grep -c "^$(hall_field version)\$")" = "$balancers" ]
}

# Print a counter from the last values that standin-hall printed.
hall_last() { # NAME
	tail -n 1 "$lab/hall.out" | tr ' ' '\n' | grep -A1 "^$1\$" | tail -n 1
}

hall_end() {
	hall end
	wait "${pid_of[hall]}"
}
