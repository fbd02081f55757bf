# Build, test and measurement targets; `make help` lists them.
SHELL := /bin/bash
BIN := $(CURDIR)/bin
export SF_BIN := $(BIN)
# The programs are linked against the C library, so the build needs a C compiler.
export CGO_ENABLED := 1

.PHONY: help build demo test lint prove bench soak generate

help: ## List the targets.
	@grep -hE '^[a-z]+:.*## ' $(MAKEFILE_LIST) | sed 's/:.*## /\t/' | expand -t 12

build: ## Build the programs into bin/.
	go build -o $(BIN)/ ./cmd/...

demo: build ## Run the main scenario with real processes and simulated upstreams, and print the results.
	$(BIN)/sf-demo --root .

test: lint build ## Run the linters and all tests.
	scripts/test.sh

lint: ## Check the formatting and run vet and staticcheck.
	@unformatted=$$(gofmt -l cmd internal platform); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

prove: build ## Run the tests listed in docs/PROOFS.md and print one line for each.
	scripts/prove.sh

bench: build ## Run the benchmarks and write the tables and plots of docs/MEASUREMENTS.md to out/.
	scripts/bench.sh

SEEDS ?= 50
SECONDS_EACH ?= 10
soak: build ## Run instances under random faults. Variables: SEEDS, SECONDS_EACH, FIRST (first seed; default from the clock).
	$(BIN)/sf-soak --bin $(BIN) --seeds $(SEEDS) --for $(SECONDS_EACH)s --first $(or $(FIRST),0)

generate: ## Regenerate the protocol code and the examples in configs/.
	cd proto && go tool -modfile=../tools/go.mod buf lint && go tool -modfile=../tools/go.mod buf generate
	go test -count=1 -run TestExamplesNameEveryKey ./internal/program -update
