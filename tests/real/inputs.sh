# Each kind of input with one mistake: commands, arguments, texts, settings and
# the key.
net=76
. "$(dirname "$0")/begin.sh"
lab_begin
operator_settings
run() {
	"$pw" "$@" 2>&1 | sed "s#$lab/##g"
	echo "exit ${PIPESTATUS[0]}"
}
run nonsense
run check
run show
run check "$lab/missing"
printf 'service a\n  address 127.0.0.1:1\n  depends a\n' >"$lab/text"
run check "$lab/text"
run submit "$lab/text" --settings "$lab/operator.json"
run show --settings "$lab/operator.json" | grep -v refused
run counters nowhere --settings "$lab/operator.json"
run balancer --settings "$lab/operator.json"
echo short >"$lab/key"
run status --settings "$lab/operator.json"
# Settings that cannot be decoded.
settings() {
	printf "$1" >"$lab/settings.json"
	run balancer --settings "$lab/settings.json"
}
settings '{"domain": 1e999}'
settings '{"domain": 99999999999999999999}'
settings '{"domain": "\\u0000"}'
settings '{"domain": "\\ud800"}'
settings '{"domain": "\377"}'
settings "{\"domain\": $(printf '[%.0s' {1..3000})"
settings '{"domain": "a"}\0{"address": 7}'
settings "{\"domain\": \"a\"}$(printf '%70000s')x"
