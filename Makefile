.PHONY: brink variants soak soak-check
.PHONY: build test race lint run fuzz bench measure-traces measure-outage measure-fleet measure-settings measure-zones standing standing-quick

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	scripts/test.sh

race:
	scripts/test.sh -race

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...
	go tool staticcheck ./...

# Needs LB_CONFIG, as DEPLOY describes it.
run: build
	exec bin/kiteloft

# Each parser for a while.
fuzz:
	go test ./internal/http1 -fuzz FuzzParser -fuzztime 20s
	go test ./internal/frames -fuzz FuzzParser -fuzztime 20s
	go test ./internal/h2 -fuzz FuzzReceive -fuzztime 20s
	go test ./internal/columns -fuzz FuzzDecode -fuzztime 20s
	go test ./internal/tracing -fuzz FuzzContext -fuzztime 20s
	go test ./internal/otlp -fuzz FuzzDecode -fuzztime 20s -fuzzminimizetime 10x
	go test ./internal/segments -fuzz FuzzRead -fuzztime 20s
	go test ./internal/fleet/link -fuzz FuzzDecode -fuzztime 20s
	go test ./internal/fleet/link -fuzz FuzzOpen -fuzztime 20s
	go test ./internal/fleet/accord -fuzz FuzzMessage -fuzztime 20s
	go test ./internal/fleet/survey -fuzz FuzzReport -fuzztime 20s

# What a query costs in the core and in the platform's front, without sockets.
bench:
	go test ./bench -run '^$$' -bench . -benchtime 2s

# What traces cost the real program, off and on in turn; about three minutes, on a
# machine with nothing else to do.
measure-traces:
	KITELOFT_MEASURE=1 go test ./bench -run TestProcessCost -v -count 1 -timeout 20m

# How worth comes back after an outage of all nodes; about a minute. KITELOFT_PROGRAM
# names another build to measure in place of this one.
measure-outage:
	KITELOFT_MEASURE=1 go test ./bench -run TestOutage -v -count 1

# The view of the fleet: by the machine alone at 300 members and all plans of three and
# four, what a query costs with it, and nine processes under faults for half an hour.
measure-fleet:
	KITELOFT_MEASURE=1 go test ./internal/fleet/member -run 'Large|EverySmall' -v -count 1 -timeout 30m
	KITELOFT_MEASURE=1 go test ./bench -run TestFleetCost -v -count 1 -timeout 20m
	KITELOFT_MEASURE=30 go test ./cmd/kiteloft -run TestLongFaults -v -count 1 -timeout 40m

# Settings that the mixers agree on: all ways at larger sizes, seven processes under faults
# for ten minutes, and the same for three without leases, which has to show the contradiction.
measure-settings:
	KITELOFT_MEASURE=1 go test ./internal/fleet/version -run EveryWay -v -count 1 -timeout 60m
	KITELOFT_MEASURE=10 go test ./cmd/kiteloft -run TestLongSettings -v -count 1 -timeout 20m
	KITELOFT_MEASURE=3 go test -tags looseaccord ./cmd/kiteloft -run TestLongSettings -v -count 1 -timeout 20m

# A zone's failure as mixers alone, a fleet and an oracle bear it, side by side, and every
# way of two zones by the machine alone. KITELOFT_SEEDS is how many seeds of each kind.
measure-zones:
	KITELOFT_MEASURE=1 go test ./internal/fleet/zone -run EveryWay -v -count 1 -timeout 20m
	KITELOFT_MEASURE=1 go test ./bench -run TestZones -v -count 1 -timeout 60m

# The operators' standing test, from a clone; needs the kit beside the repository. WHY is
# the journal's note.
WHY ?= The standing test on the committed program
standing:
	scripts/standing.sh "$(WHY)"
standing-quick:
	scripts/standing.sh "$(WHY)" --quick

# The operators' short days on a seed, and those days and the quick standing test on two
# deployments that are not theirs (deploy/sites); each from a clone, with the kit.
SEED ?= 1
brink:
	scripts/brink.sh "$(WHY)" $(SEED)
variants:
	QUICK=1 scripts/brink.sh "$(WHY)" $(SEED) deploy/sites/near.toml deploy/sites/far.toml

# The fault soak: real mixers among stand-ins that misbehave, SEEDS schedules of 30 s from
# SEED on, some at a time. soak-check takes guards out of the mixer, one at a time, and asks
# whether the soak finds that.
SEEDS ?= 20
soak:
	mkdir -p bin && go build -o bin/ ./cmd/kiteloft ./cmd/soak
	bin/soak bin/kiteloft --seed $(SEED) --seeds $(SEEDS) --parallel 5 --shrink
soak-check:
	scripts/soak-check.sh 4
