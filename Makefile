# The two commands of the README are "make test" and "make demo".

.PHONY: build test race model fuzz-corpora demo lint

build:
	go build -o bin/ ./cmd/...

test: race

demo: build
	bin/standin demo

race:
	go test -race -timeout 15m ./...
