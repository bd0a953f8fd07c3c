# make demo   builds and runs everything on loopback
# make test   runs all tests
.PHONY: build demo test check measure capacity

build:
	go build -o bin/ ./cmd/...

demo: build
	demo/run.sh

test:
	go test ./...

check:
	.ci/run

# make measure   the tables of docs/design (a quarter of an hour)
# make capacity  the table of docs/CAPACITY.md (ten minutes)
measure:
	go test -tags measure ./test -run 'Measure(Added|Claim|Path|Routing|Overload|Wave)' -v -timeout 40m

capacity:
	go test -tags measure ./test -run MeasureCapacity -v -timeout 30m
