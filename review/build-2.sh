#!/bin/sh
# Builds the stand-ins of the cases 6 to 8, which are beside case 6, after the build of the
# deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 -cp target/masticlane.jar review/6/*.java
