# Functions that start and stop a small installation on loopback addresses.
# Sourced by demo.sh and by the tests with real processes.
# shellcheck shell=bash

build=${BUILD:-build}
pw=$build/persimmonwinch
lab=""
pids=()
declare -A pid_of

lab_begin() {
	lab=$(mktemp -d)
	od -An -N16 -tx1 /dev/urandom | tr -d ' \n' >"$lab/key"
	echo >>"$lab/key"
	: >"$lab/runs"
	trap lab_end EXIT
	trap 'exit 130' INT TERM
}

# Kill all processes that start() has started, and remove their files.
lab_end() {
	local p
	# Hides the "Killed" line that the shell prints for each process.
	exec 2>/dev/null
	for p in "${pids[@]}"; do
		kill -KILL "$p" 2>/dev/null
	done
	wait 2>/dev/null
	[ -n "$lab" ] && [ -z "${KEEP_LAB:-}" ] && rm -rf "$lab"
	lab=""
}

# start NAME COMMAND...: run a command in the background with its own log.
start() {
	local name=$1
	shift
	"$@" >>"$lab/$name.log" 2>&1 &
	pid_of[$name]=$!
	pids+=("$!")
}

# stop NAME [SIGNAL]: send a signal to a process and wait for its end.
stop() {
	kill "-${2:-TERM}" "${pid_of[$1]}" 2>/dev/null
	wait "${pid_of[$1]}" 2>/dev/null
}

# domain_name N: print the failure domain of instance N.
domain_name() {
	echo "${domains[$(($1 % ${#domains[@]}))]}"
}

seeds() {
	local list="" i
	for ((i = 0; i < balancers; i++)); do
		list="$list${list:+, }\"127.$net.1.$((i + 1)):7400\""
	done
	echo "[$list]"
}

balancer() { # N
	cat >"$lab/balancer$1.json" <<-JSON
	{
	  "address": "127.$net.1.$(($1 + 1)):7400",
	  "domain": "$(domain_name "$1")",
	  "seeds": $(seeds),
	  "platform": "http://127.0.0.1:$platform_port",
	  "key_file": "$lab/key",
	  "callers_ip": "127.$net.1.$(($1 + 1))",
	  "health_port": 7401,
	  "grace_ms": 1500,
	  "log_level": "${LOG_LEVEL:-notice}"
	}
	JSON
	start "balancer$1" "$pw" balancer --settings "$lab/balancer$1.json"
}

# target NAME N SERVICE WORK_MS SLOTS: start a target and its agent.
target() {
	cat >"$lab/agent-$1.json" <<-JSON
	{
	  "address": "127.$net.2.$2:7500",
	  "domain": "$(domain_name "$2")",
	  "seeds": $(seeds),
	  "key_file": "$lab/key",
	  "service": "$3",
	  "target": "127.$net.2.$2:5683",
	  "log_level": "${LOG_LEVEL:-notice}"
	}
	JSON
	start "target-$1" "$build/tests/standin-target" "127.$net.2.$2:5683" \
	    "$3" "$5" "$4" "$lab/runs" "${SHED:-0}"
	agent "$1"
}

agent() { # NAME
	start "agent-$1" "$pw" agent --settings "$lab/agent-$1.json"
}

operator_settings() {
	cat >"$lab/operator.json" <<-JSON
	{
	  "seeds": $(seeds),
	  "platform": "http://127.0.0.1:$platform_port",
	  "key_file": "$lab/key"
	}
	JSON
}

platform() {
	start platform "$build/tests/standin-platform" "$platform_port"
}

# fabric SERVICE_ADDRESS...
fabric() {
	local args=() i
	for i in "$@"; do
		args+=(-s "$i")
	done
	for ((i = 0; i < balancers; i++)); do
		args+=(-b "127.$net.1.$((i + 1)):7401")
	done
	start fabric "$build/tests/standin-fabric" "127.$net.3.1" \
	    "${SEED:-1}" "${LOSS_PPM:-0}" "${DUP_PPM:-0}" \
	    "${DELAY_US:-3000}" "${JITTER_US:-1000}" "${args[@]}"
}

# callers NAME SECONDS KIND COUNT ADDRESS SERVICE [MS]
callers() {
	start "caller-$1" "$build/tests/standin-caller" "$2" "$3" "$4" "$5" \
	    "$6" "$1" "${7:-50}"
}

# await SECONDS COMMAND...: repeat the command until it succeeds. Fails after
# 10 attempts for each second.
await() {
	local tries=$(($1 * 10))
	shift
	while ! "$@" >/dev/null 2>&1; do
		tries=$((tries - 1))
		[ "$tries" -gt 0 ] || return 1
		sleep 0.1
	done
}

op() {
	"$pw" "$1" --settings "$lab/operator.json" "${@:2}"
}

# Count the agents that the first balancer that responds reports as active.
active_agents() {
	op status 2>/dev/null | grep -c '^agent .* active ok$'
}

has_active_agents() {
	[ "$(active_agents)" -ge "$1" ]
}

# sum FIELD: add up a field of the callers' last lines.
sum() {
	cat "$lab"/caller-*.log | awk -v f="$1" '
	    $2 == "requests" { for (i = 1; i < NF; i++)
	        if ($i == f) n += $(i + 1) } END { print n + 0 }'
}

# Count the tickets that ran more than once.
doubled() {
	awk '{ print $2 }' "$lab/runs" | sort | uniq -d | wc -l
}

# Count the tickets that did not run although a caller got a response that
# reports a run.
claimed_not_run() {
	comm -23 <(grep -h '^ran ' "$lab"/caller-*.log | awk '{ print $2 }' |
	    sort -u) <(awk '{ print $2 }' "$lab/runs" | sort -u) | wc -l
}
