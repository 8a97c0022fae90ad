#!/bin/sh
# Compiles the stand-ins and the cases of the review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -d target/review review/*.java
