#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/review/bin/3" ] && [ -x "$root/target/mastusher-tier" ] || exit 2
exec "$root/review/bin/3" "$root" "$here/record.txt"
