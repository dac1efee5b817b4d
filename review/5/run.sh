#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
driver="$root/review/standins-2/target/release/review-standins-2"
[ -x "$driver" ] && [ -x "$root/target/release/cometlead" ] || { echo "not built"; exit 2; }
exec "$driver" names "$root" "$here"
