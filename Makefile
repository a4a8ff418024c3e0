# The two commands of the README are "make test" and "make demo".

.PHONY: build test race model fuzz-corpora demo lint capacity

build:
	go build -o bin/ ./cmd/...

test: race

demo: build
	bin/standin demo

race:
	go test -race -timeout 15m ./...

# BESIDE says what else runs on the machine; the page states it.
BESIDE ?= not stated
capacity: build
	bin/capacity measure --beside "$(BESIDE)"
