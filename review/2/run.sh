#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
if [ ! -f target/plantainspur.jar ] || [ ! -f target/review/review/StaleStandbys.class ]; then
    echo "run the build of deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
exec java -cp target/review review.StaleStandbys "$folder"
