#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../../.." || exit 2
if [ ! -x target/carawaypick ] || [ ! -x target/review/standins ]; then
	echo "run the build of deploy/system.toml and review/build.sh first" >&2
	exit 2
fi
exec target/review/standins version "$folder/record.txt"
