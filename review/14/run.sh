#!/usr/bin/env bash
# Shows the case with processes; TROUBLE=0 leaves the disruption out. Exit status: 1 if the rule was
# broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/parsleywall ] && [ -x target/review-3/review-3 ] || {
    echo "build the deploy file and run review/build-3.sh first"
    exit 2
}
exec target/review-3/review-3 long-request-again review/14
