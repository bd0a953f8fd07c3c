# make demo      builds everything and runs the demo on loopback
# make test      runs all tests
# make check     runs what CI runs
.PHONY: build demo test check measure capacity

build:
	go build -o bin/ ./cmd/...

demo: build
	demo/run.sh

test:
	go test -timeout 20m $(TESTFLAGS) ./...

check:
	.ci/run

# make measure   runs the measurements for docs/design (about 15 minutes)
# make capacity  runs the measurement for docs/CAPACITY.md (about 10 minutes)
measure:
	go test -tags measure ./test -run 'Measure(Added|Claim|Path|Routing|Overload|Wave|Forwarding)' -v -timeout 40m

capacity:
	go test -tags measure ./test -run MeasureCapacity -v -timeout 30m

# make days      runs the scenarios of test/days with the benchmark program BENCH
#                on each site file in SITES
.PHONY: days
days:
	@for site in $(SITES); do for day in test/days/*.toml; do \
	  echo "== $$site $$day"; $(BENCH) run $$site $$day --why "our own days" 2>&1 | grep -E -A1 '^day |wrong' ; done; done
