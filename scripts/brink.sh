#!/usr/bin/env bash
# The operators' short days, from a clone, so that bin/ stays as built; its journal comes
# back. It needs the kit beside the repository. Usage: brink.sh "why" SEED [SITE ...]; a
# site is a file of deploy/sites, none is the operators' own. QUICK=1 plays each site's
# quick standing test as well.
set -e
cd "$(dirname "$0")/.."
here=$PWD
kit=../given/kit
why=$1 seed=$2
shift 2
if [ ! -x "$kit/more/mass/second/bin/lbreal" ]; then
	echo "the kit is not there: $kit" >&2
	exit 2
fi
if [ -n "$(git status --porcelain -- cmd decide internal deploy go.mod)" ]; then
	echo "commit first: the clone plays what is committed" >&2
	exit 2
fi
clone=$(mktemp -d "$here/../brink-XXXXXX")
trap 'rm -rf "$clone"' EXIT
git clone -q "$here" "$clone"
cd "$clone"
# What the bench reads beside a site's file.
cp "$kit"/sites/{real.json,wire.json,design.json,unlock.txt} deploy/sites/
sites=("$@")
[ $# -gt 0 ] || sites=("$kit/sites/fug-central.toml")
code=0
for site in "${sites[@]}"; do
	"$kit/more/mass/second/bin/lbreal" score "$site" --panel brink --seed "$seed" --why "$why" || code=$?
	if [ -n "$QUICK" ]; then
		"$kit/more/mass/second/bin/lbreal" score "$site" --quick --no-build --why "$why" || code=$?
	fi
done
cp -n journal/*.json "$here/journal/"
cp -n journal/blobs/* "$here/journal/blobs/"
exit $code
