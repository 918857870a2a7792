#!/bin/sh
# Builds the stand-ins of the review's cases into review/bin/. The mixer itself is built by the
# deploy file's build.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/stand ./review/stand
