#!/bin/sh
# Builds the programs of the second review's scripts, each with the stand-ins that it starts, into target/review-2. Run it after the build
# of the deploy file, which builds target/sf-instance.
set -eu
cd "$(dirname "$0")/.."
for program in review/_harness2/*/; do
	name=$(basename "$program")
	[ "$name" = base ] || go build -o "target/review-2/$name" "./$program"
done
