#!/usr/bin/env bash
# Runs this case against the softswitch as deploy/balancer.toml starts it. Exit: 0 held, 1 broken, 2 could not run.
# TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/review/bin/case-$(basename "$here")"
run=$(sed -n 's/^run = "\(.*\)"[^"]*$/\1/p' "$root/deploy/balancer.toml")
if [ ! -x "$program" ] || [ ! -x "$root/build/thistlefold" ] || [ -z "$run" ]; then
  echo "build the deploy file's programs and review/build.sh first" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
cd "$root" || exit 2
timeout -k 2 110 "$program" "$here/record.txt" "$folder" "$run"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
