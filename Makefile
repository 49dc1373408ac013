# Programs go to bin/. `make test` is what CI runs; `make help` lists the rest.
GO ?= go
BIN := bin
FUZZTIME ?= 30s
SOAK ?= 30m
SEED ?= 1
CAPACITY ?= docs/capacity
RED = $(shell scripts/known-red.sh pattern)
SLOPES ?= spread start claims stream token configuration platform group request session

.PHONY: help build test lint prove soak fuzz demo measure capacity clean

help: ## list the targets
	@grep -E '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

build: ## build the daemon, the tool and the stand-ins into bin/
	$(GO) build -o $(BIN)/ ./cmd/...

test: build ## unit and property tests, then the process-level proofs, but for KNOWN-RED.txt
	@scripts/known-red.sh list
	$(GO) test -skip '$(RED)' ./internal/... ./cmd/... ./platform/...
	$(MAKE) prove

prove: build ## process-level proofs with real processes
	$(GO) test -count=1 -skip '$(RED)' ./test/...

soak: build ## the long seeded soaks, one verdict line a promise (SOAK=30m SEED=1)
	$(GO) test -count=1 -v -timeout 24h -run TestSoak ./platform/ -args -soak $(SOAK) -seed $(SEED)
	$(GO) test -count=1 -v -timeout 24h -run TestSoak ./test/ -args -soak $(SOAK) -seed $(SEED)

fuzz: ## each fuzz target for FUZZTIME (30s)
	@$(GO) list -f '{{.Dir}}' ./internal/... ./cmd/... ./platform/... | while read -r dir; do \
		grep -ho '^func Fuzz[A-Za-z0-9]*' "$$dir"/*_test.go 2>/dev/null | sed 's/^func //' | while read -r target; do \
			echo "$$dir $$target"; \
			$(GO) test -run '^$$' -fuzz "^$$target$$" -fuzztime $(FUZZTIME) -parallel 4 "$$dir" || exit 1; \
		done || exit 1; \
	done

measure: build ## every scenario, policy and seed; hours (MEASURE="--scenario steady --seeds 1" for less)
	$(BIN)/skylark-measure $(MEASURE)

capacity: build ## the slopes of docs/CAPACITY.md into docs/capacity/, a quarter of an hour (LOCK=FILE: take turns)
	$(GO) test -run '^$$' -bench . -benchmem -benchtime 100ms -count 3 -p 1 ./internal/... > $(CAPACITY)/benchmarks.txt
	$(BIN)/skylark-measure slopes --out $(CAPACITY) --lock "$(LOCK)" --window 8s --warmup 2s --repeats 1 $(SLOPES)
	$(BIN)/skylark-measure table --out $(CAPACITY)

demo: build ## a small fleet on loopback with a few requests (KEEP=1 leaves it running)
	@KEEP=$(KEEP) scripts/demo.sh

lint: ## gofmt, vet, staticcheck
	@out=$$(gofmt -l .); if [ -n "$$out" ]; then echo "gofmt wants:"; echo "$$out"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

clean: ## remove bin/
	rm -rf $(BIN)
