#!/usr/bin/env bash
# Checks the soak: each patch of internal/soak/testdata takes a guard out of the mixer, and the soak
# has to find that. Prints in how many seeds it did, and by which rules. Usage: soak-check.sh [SEEDS]
set -e
cd "$(dirname "$0")/.."
here=$PWD seeds=${1:-4} missed=0
work=$(mktemp -d "$here/../soak-check-XXXXXX")
trap 'rm -rf "$work"' EXIT
git clone -q "$here" "$work/tree"
go build -o "$work/soak" ./cmd/soak
for patch in internal/soak/testdata/*.patch; do
	name=$(basename "$patch" .patch)
	git -C "$work/tree" checkout -q . && git -C "$work/tree" apply "$here/$patch"
	(cd "$work/tree" && go build -o "$work/kiteloft" ./cmd/kiteloft)
	# A patch's first line may name the troubles in which its guard is needed.
	add=$(sed -n '1s/^Troubles: //p' "$patch")
	"$work/soak" "$work/kiteloft" --seed 1 --seeds "$seeds" --parallel 4 ${add:+--add "$add"} >"$work/out" || true
	line=$(tail -1 "$work/out")
	found=$(grep -c '^seed [0-9]*: [0-9]* requests, [1-9]' "$work/out" || true)
	grep -h "crash" "$work/out" | head -20 || true # a crash is worth a look whatever the patch
	echo "$name: found in $found of $seeds seeds; $line"
	[ "$found" -gt 0 ] || missed=1
done
exit $missed
