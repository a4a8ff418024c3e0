# The two commands of the README are "make test" and "make demo".

.PHONY: build test model demo capacity

build:
	go build -o bin/ ./cmd/...

# Everything: unit tests, generated sequences, fuzz corpora, scenarios, model.
test: model
	go test -race -timeout 20m ./...

# Searches the models of spec/ completely; each variant without a rule must fail.
model:
	spec/check.sh

demo: build
	bin/standin demo


# BESIDE says what else runs on the machine; the page states it.
BESIDE ?= not stated
capacity: build
	bin/capacity measure --beside "$(BESIDE)"
