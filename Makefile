# make demo   builds and runs everything on loopback
# make test   runs all tests
.PHONY: build demo test check load capacity

build:
	go build -o bin/ ./cmd/...

demo: build
	demo/run.sh

test:
	go test ./...

check:
	.ci/run
