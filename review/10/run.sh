#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/build/thistlefold" ] && [ -x "$root/review/bin/play-$(basename "$here")" ] || exit 2
timeout -k 2 115 "$root/review/bin/play-$(basename "$here")" "$root" "$here/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
