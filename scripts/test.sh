#!/usr/bin/env bash
# Runs all tests. Those that KNOWN-RED.txt lists run by themselves, may fail, and are printed
# with what became of them; every other test has to pass.
set -e
cd "$(dirname "$0")/.."
most_known=3
# A line is "TestName: cause; issue", or "soak: command; cause; issue" for what the long soak has
# found, which is printed only.
known=()
if [ -f KNOWN-RED.txt ]; then
	mapfile -t known < <(sed -n 's/^\(Test[A-Za-z0-9_]*\):.*/\1/p' KNOWN-RED.txt)
	if [ "$(grep . KNOWN-RED.txt | grep -vc '^soak: ')" -ne "${#known[@]}" ] || [ "${#known[@]}" -gt "$most_known" ]; then
		echo "KNOWN-RED.txt: each line begins with a test's name, and there are at most $most_known" >&2
		exit 1
	fi
fi
if [ "${#known[@]}" -eq 0 ]; then
	exec go test "$@" ./...
fi
names="^($(IFS='|'; echo "${known[*]}"))\$"
echo "known failures, listed in KNOWN-RED.txt:"
cat KNOWN-RED.txt
for name in "${known[@]}"; do
	if ! grep -rqs --include='*_test.go' "^func $name(" .; then
		echo "KNOWN-RED.txt: there is no test $name" >&2
		exit 1
	fi
done
go test "$@" -run "$names" ./... 2>&1 | grep -E '^ *(--- |ok .*[0-9]s$|FAIL)' || true
go test "$@" -skip "$names" ./...
