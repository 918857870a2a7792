#!/bin/sh
# Builds the programs of the cases 6 to 10, with the stand-ins that they start, into bin/.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
for case in 6 7 8 9 10; do
	if [ -d "review/$case" ]; then
		go build -tags review -o "bin/review-$case" "./review/$case"
	fi
done
