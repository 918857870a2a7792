#!/usr/bin/env bash
# The standing test, from a clone beside the repository, so that bin/ stays as built. It
# needs the kit beside the repository. Usage: standing.sh "why" [--quick]
set -e
cd "$(dirname "$0")/.."
here=$PWD
kit=../given/kit
if [ ! -x "$kit/more/mass/second/bin/lbreal" ]; then
	echo "the kit is not there: $kit" >&2
	exit 2
fi
if [ -n "$(git status --porcelain -- cmd decide internal deploy go.mod)" ]; then
	echo "commit first: the clone plays what is committed" >&2
	exit 2
fi
clone=$(mktemp -d "$here/../standing-XXXXXX")
trap 'rm -rf "$clone"' EXIT
git clone -q "$here" "$clone"
cd "$clone"
code=0
"$kit/more/mass/second/bin/lbreal" score "$kit/sites/fug-central.toml" ${2:+"$2"} --why "$1" || code=$?
cp -n journal/*.json "$here/journal/"
cp -n journal/blobs/* "$here/journal/blobs/"
cd "$here"
go run ./bench/standing || code=$?
exit $code
