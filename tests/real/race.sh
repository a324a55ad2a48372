# Two submissions at the same time; a response lost after the write; requests
# rejected with 429.
net=74
. "$(dirname "$0")/begin.sh"
begin
fault slow=300
write_text 20
cp "$lab/text" "$lab/text-a"
write_text 30
cp "$lab/text" "$lab/text-b"
op submit "$lab/text-a" >"$lab/out-a" &
a=$!
op submit "$lab/text-b" >"$lab/out-b" &
b=$!
wait $a
wait $b
grep -ch '^accepted: version 2' "$lab/out-a" "$lab/out-b" | sort
grep -ch '^refused: submission .* came first, as version 2$' \
    "$lab/out-a" "$lab/out-b" | sort
grep -h '^theirs' "$lab/out-a" "$lab/out-b"
fault slow=0
fault lose=1
write_text 40
op submit "$lab/text" | cut -d, -f1
await 60 is_version_in_force 3 && echo "version 3 is in force"
fault limit=2
write_text 50
op submit "$lab/text" | cut -d, -f1
