# Functions of the scripts: start the system's processes around the stand-in
# bed, on loopback addresses 127.NET.KIND.N, and end all of them. Set record, net,
# balancers, agents and flows before sourcing this file.
# shellcheck shell=bash
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
cd "$root" || exit 2
pw=target/persimmonwinch
bed=target/review-3-bed
declare -A pid_of
pids=()

cannot_run() { # WHY
	echo "cannot run: $*" | tee -a "$record"
	exit 2
}

lab_end() {
	exec 2>/dev/null
	for p in "${pids[@]}"; do
		kill -CONT "$p"
		kill -KILL "$p"
	done
	wait
	rm -rf "$lab"
}

seeds() {
	echo "\"127.$net.1.1:8166\", \"127.$net.1.2:8166\", \"127.$net.1.3:8166\""
}

start() { # NAME COMMAND...
	local name=$1
	shift
	"$@" >>"$lab/$name.log" 2>&1 &
	pid_of[$name]=$!
	pids+=("$!")
	say "$name starts"
}

say() { # TEXT
	printf '%8s %s\n' "run.sh:" "$*" >>"$record"
}

balancer() { # N, from 1
	local ip=127.$net.1.$1
	cat >"$lab/b$1.json" <<-JSON
	{"name": "frontend-$1", "address": "$ip:7720", "domain": "z$(($1 % 3))",
	 "balancers": [$(seeds)], "platform": "http://127.$net.0.1:8400",
	 "packets": "$ip:8172", "readiness": "$ip:8167", "metrics": "$ip:9464",
	 "flow_life_s": 60, "grace_ms": 5000, "cores": 0.055,
	 "hint_capacity": 32768, "log_lines": 100}
	JSON
	start "b$1" "$pw" balancer --flows --settings "$lab/b$1.json"
}

agent() { # N, from 1
	local ip=127.$net.2.$1
	cat >"$lab/a$1.json" <<-JSON
	{"name": "side-$1", "address": "$ip:7720", "domain": "z$(($1 % 3))",
	 "balancers": [$(seeds)], "platform": "http://127.$net.0.1:8400",
	 "packets": "$ip:8172", "readiness": "$ip:8167", "metrics": "$ip:9464",
	 "service": "desk", "target": "$ip:8080", "target_packets": "$ip:8162",
	 "target_words": "$ip:8166", "word_period_ms": 1200, "flow_life_s": 60,
	 "flow_capacity": 16384}
	JSON
	start "a$1" "$pw" agent --flows --settings "$lab/a$1.json"
}

# SIGTERM, and wait for the end.
stop() { # NAME
	say "SIGTERM to $1"
	kill -TERM "${pid_of[$1]}"
	wait "${pid_of[$1]}"
	say "$1 has ended"
}

# Send a command to the stand-in and print its reply.
ask() { # COMMAND
	local reply
	echo "$1" >&"${bed_in}"
	read -r -t 20 reply <&"${bed_out}" || cannot_run "no reply to $1"
	echo "$reply"
}

lab_begin() {
	local reply
	[ -x "$pw" ] && [ -x "$bed" ] || {
		echo "build target/ and run review/build-3.sh first"
		exit 2
	}
	: >"$record"
	lab=$(mktemp -d)
	trap lab_end EXIT
	trap 'exit 2' INT TERM
	trap '' PIPE
	coproc BED { exec "$bed" "$net" "$balancers" "$agents" "$flows" \
	    "$record" 2>"$lab/bed.err"; }
	pids+=("$BED_PID")
	exec {bed_in}>&"${BED[1]}" {bed_out}<&"${BED[0]}"
	read -r -t 5 reply <&"$bed_out" || cannot_run "$(cat "$lab/bed.err")"
	for ((n = 1; n <= agents; n++)); do agent $n; done
	for ((n = 1; n <= ${first:-balancers}; n++)); do balancer $n; done
}

# End the stand-in; its counts decide.
lab_verdict() { # OPENED-AT-LEAST
	local reply opened resets strays
	reply=$(ask end)
	echo "$reply"
	[ -n "${KEEP:-}" ] && cp "$lab"/*.log "$KEEP"
	opened=$(echo "$reply" | cut -d ' ' -f 2)
	resets=$(echo "$reply" | cut -d ' ' -f 8)
	strays=$(echo "$reply" | cut -d ' ' -f 10)
	[ "${opened:-0}" -ge "$1" ] || cannot_run "only ${opened:-0} flows opened"
	[ "$resets" = 0 ] && [ "$strays" = 0 ] && exit 0
	exit 1
}
