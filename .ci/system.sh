#!/usr/bin/env bash
# Checks the statements of deploy/system.toml about the tier: its build line builds the binary, linked dynamically against the C
# library, with the Debian packages that `packages` lists, and each role's line names a command of the binary.
set -euo pipefail
cd "$(dirname "$0")/.."
file=deploy/system.toml

sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' "$file")"
go run ./internal/tools/packages "$file"
status=0
while read -r binary role rest; do
	test -z "$rest" || { echo "$file: '$binary $role $rest' has more than a role" >&2; status=1; }
	needed=$(go run ./internal/tools/sharedlibs "$binary")
	grep -q '^libc\.so' <<<"$needed" || { echo "$binary: not linked dynamically against the C library" >&2; status=1; }
	# Read completely first: in a pipe, grep -q exits at the first match, and `help`, still writing, would fail the pipe by SIGPIPE.
	help=$("$binary" help 2>&1)
	grep -qE "^[[:space:]]+$role[[:space:]]" <<<"$help" || { echo "$file: $binary knows no role $role" >&2; status=1; }
done < <(sed -n 's/^run = "\(.*\)"$/\1/p' "$file")
exit $status
