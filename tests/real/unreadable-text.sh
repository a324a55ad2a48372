# Texts that are not UTF-8 or contain a NUL, and an object in the platform that
# cannot be decoded: the commands say so, and the version in force stays.
net=78
. "$(dirname "$0")/begin.sh"
begin
submit() {
	op submit "$lab/text" 2>&1 | sed "s#$lab/##g; s/, [0-9]* nodes told//"
	echo "exit ${PIPESTATUS[0]}"
}
store() {
	curl -s -X PUT -d "$1" \
	    "http://127.0.0.1:$platform_port/v1/objects/config/current"
}
write_text 20
printf '# a\0b\n' >>"$lab/text"
submit
write_text 20
printf '# \377\n' >>"$lab/text"
submit
await 60 is_version_in_force 1 && echo "version 1 is in force"
# An earlier release stored texts that contain a NUL.
store '{"version":2,"submission":"s","history":[],"text":"# a\u0000b\n"}'
write_text 20
submit
await 60 is_version_in_force 3 && echo "version 3 is in force"
store '{"version":4,"submission":"s","history":[],"text":1e999}'
submit
await 60 is_version_in_force 3 && echo "version 3 is in force"
