#!/bin/sh
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run. With TROUBLE=0 the disruption is left out: the
# program reads the variable (rig.Trouble).
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")" || exit 2
[ -x ../bin/5 ] && [ -x ../../target/mastusher-tier ] || { echo "run the build of the deploy file and review/build-2.sh first"; exit 2; }
exec ../bin/5 "$(cd ../.. && pwd)"
