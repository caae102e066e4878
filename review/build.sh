#!/bin/sh
# Builds the stand-ins and the scripts' programs of the review; needs only the JDK.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/src/review/*.java
