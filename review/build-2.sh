#!/bin/sh
# Builds the stand-ins of the second review's scripts. Run after the build of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 && exec javac -d target/review-2 review/src2/review2/*.java
