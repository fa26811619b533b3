#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run. Needs the build of the deploy file and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
program="$root/review/standin-2/target/release/review-2"
for needed in "$program" "$root/target/release/micadrum"; do
    if [ ! -x "$needed" ]; then
        echo "not built: $needed" >&2
        exit 2
    fi
done
exec "$program" cold-partner "$root" "$here/record.txt"
