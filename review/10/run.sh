#!/bin/sh
# Kills all machines once while a request that crashes servers comes again every 6 s; TROUBLE=0: no kill.
# Run from anywhere, after the build of the deploy file and review/build-2.sh. About 90 s.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/drill ] && [ -x target/release/foxtailrouter ] || exit 2
exec target/review-2/drill deadly review/10
