#!/bin/sh
# Stops a gateway as planned while callers still use it; see claim.txt. TROUBLE=0 leaves out the stop.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/masticlane.jar ] && [ -f target/review/io/masticlane/review/PlannedStop.class ] || exit 2
exec timeout 100 java -Xmx128m -cp target/review io.masticlane.review.PlannedStop review/1
