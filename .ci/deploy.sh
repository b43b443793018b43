#!/usr/bin/env bash
# Checks what deploy/balancer.toml promises: the relay is linked dynamically against the C library, and `node` names
# every package of the project that it links.
set -euo pipefail
cd "$(dirname "$0")/.."
binary=${1:-bin/mastusher}
file=${2:-deploy/balancer.toml}

needed=$(go run ./internal/tools/sharedlibs "$binary")
grep -q '^libc\.so' <<<"$needed" || { echo "$binary: not linked dynamically against the C library" >&2; exit 1; }

node=$(sed -n 's/^node = \[\(.*\)\]$/\1/p' "$file" | tr -d '" ' | tr ',' '\n')
linked=$(go list -deps ./cmd/mastusher | sed -n 's|^mastusher/||p')
status=0
for pkg in $linked; do
	found=
	for n in $node; do
		case $pkg/ in "$n"/*) found=1 ;; esac
	done
	test -n "$found" || { echo "$file: node leaves out $pkg" >&2; status=1; }
done
for n in $node; do
	test -e "$n" || { echo "$file: node names $n, which is not there" >&2; status=1; }
done
exit $status
