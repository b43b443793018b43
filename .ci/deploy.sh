#!/usr/bin/env bash
# Checks the statements of deploy/balancer.toml: the relay is linked dynamically against the C library, and `node` names
# every package of the project that it links.
set -euo pipefail
cd "$(dirname "$0")/.."
binary=${1:-bin/mastusher}
file=${2:-deploy/balancer.toml}

needed=$(go run ./internal/tools/sharedlibs "$binary")
grep -q '^libc\.so' <<<"$needed" || { echo "$binary: not linked dynamically against the C library" >&2; exit 1; }

listed=$(sed -n 's/^node = \[\(.*\)\]$/\1/p' "$file" | tr -d '" ' | tr ',' '\n')
linked=$(go list -deps ./cmd/mastusher | sed -n 's|^mastusher/||p')
status=0
for package in $linked; do
	covered=
	for path in $listed; do
		case $package/ in "$path"/*) covered=1 ;; esac
	done
	test -n "$covered" || { echo "$file: node leaves out $package" >&2; status=1; }
done
for path in $listed; do
	test -e "$path" || { echo "$file: node names $path, which is not there" >&2; status=1; }
done
exit $status
