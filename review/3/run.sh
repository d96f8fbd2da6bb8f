#!/bin/sh
# Plays the case once and writes record.txt here. 1: the rule was broken, 0: it held, 2: the case couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the build of deploy/system.toml and review/build.sh.
folder=$(cd "$(dirname "$0")" && pwd)
repository=$(cd "$folder/../.." && pwd)
[ -x "$repository/target/review/version_case" ] || exit 2
exec "$repository/target/review/version_case" "$repository" "$folder/record.txt"
