GO ?= go
BIN := bin
PROTO := internal/node/nodepb/node.proto
# The race detector and the lock-order check (build tag lockcheck) run in separate passes, because the check reads the
# stack of the calling goroutine at each lock: TestChaos took over 200 s with both, 15 s with the race detector and 174 s
# with the check. The pass with the check therefore runs only one random fault schedule of each mode.
RAPID_SEED := 20261204
LOCK_PACKAGES = $(shell $(GO) list -f '{{.ImportPath}} {{join .Imports " "}}' ./... | grep internal/lockorder | cut -d' ' -f1)
# Number of cases of each property in a soak run, and the time limit for one package. Ordinary runs have 100 cases.
SOAK_CHECKS ?= 5000
SOAK_TIMEOUT ?= 30m
# Packages whose tests use rapid. Only their test binaries accept its flags.
RAPID_PACKAGES = $(shell $(GO) list -f '{{$$p := .ImportPath}}{{range .TestImports}}{{if eq . "pgregory.net/rapid"}}{{$$p}}{{end}}{{end}}{{range .XTestImports}}{{if eq . "pgregory.net/rapid"}}{{$$p}}{{end}}{{end}}' ./...)

# Number of random fault schedules of each mode in a soak run.
SOAK_SCHEDULES ?= 200

.PHONY: all build generate check format-check vet staticcheck generate-check test fuzz demo measure soak clean

all: check test

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Generated files are committed, so only this target and generate-check need protoc.
generate: $(BIN)/protoc-gen-go $(BIN)/protoc-gen-go-drpc
	PATH="$(CURDIR)/$(BIN):$$PATH" protoc --go_out=. --go_opt=paths=source_relative \
		--go-drpc_out=. --go-drpc_opt=paths=source_relative $(PROTO)

$(BIN)/protoc-gen-go:
	$(GO) build -o $@ google.golang.org/protobuf/cmd/protoc-gen-go

$(BIN)/protoc-gen-go-drpc:
	$(GO) build -o $@ storj.io/drpc/cmd/protoc-gen-go-drpc

check: format-check vet staticcheck generate-check

format-check:
	@out="$$(gofmt -l cmd internal platform scripts)"; if [ -n "$$out" ]; then echo "gofmt would change:"; echo "$$out"; exit 1; fi

vet:
	$(GO) vet ./...
	$(GO) vet -tags lockcheck ./...

staticcheck:
	$(GO) tool staticcheck ./...

generate-check: generate
	@git diff --exit-code -- internal/node/nodepb || { echo "generated code is out of step: run 'make generate' and commit"; exit 1; }

# The tests of this package measure the memory of a whole process under clients that misbehave, one at a time, and run apart
# from other load: go test runs several packages at once.
ALONE_PACKAGES := heatherreel/internal/clienttest

# Skips the tests that KNOWN-RED.txt lists, and prints them. Seeds are fixed, so that each run has the same result.
test:
	GO="$(GO)" $(GO) run ./scripts/knownred -race -rapid.seed=$(RAPID_SEED) -- $(sort $(RAPID_PACKAGES))
	GO="$(GO)" $(GO) run ./scripts/knownred -race -- $(filter-out $(RAPID_PACKAGES) $(ALONE_PACKAGES),$(shell $(GO) list ./...))
	HEATHERREEL_CHAOS_SEEDS=1 GO="$(GO)" $(GO) run ./scripts/knownred -tags lockcheck -- $(LOCK_PACKAGES)
	GO="$(GO)" $(GO) run ./scripts/knownred -race -- $(ALONE_PACKAGES)

# Time for each fuzz target. CI uses the default.
FUZZ_TIME ?= 5s
FUZZ_TARGETS := ./platform/caller:FuzzHeartbeat ./platform/store:FuzzStoreAnswers ./platform/backend:FuzzAnswer \
	./internal/registry:FuzzRecords ./internal/node:FuzzMessagesOfNodes ./internal/pipeline:FuzzHead \
	./internal/wirefields:FuzzPackedFields

# Runs each fuzz target for FUZZ_TIME. Failing inputs are written to testdata/fuzz of the package.
fuzz:
	@for target in $(FUZZ_TARGETS); do \
		$(GO) test -run '^$$' -fuzz "^$${target##*:}$$" -fuzztime $(FUZZ_TIME) "$${target%%:*}" || exit 1; \
	done

# Runs the property tests with many cases, and TestChaos with many schedules. SEED=n repeats the run with that seed.
soak:
	@seed="$${SEED:-$$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')}"; \
	echo "soak: SEED=$$seed, $(SOAK_CHECKS) cases of each property"; \
	GO="$(GO)" $(GO) run ./scripts/knownred -race -count=1 -timeout $(SOAK_TIMEOUT) \
		-rapid.checks=$(SOAK_CHECKS) -rapid.seed=$$seed -- $(sort $(RAPID_PACKAGES)) && \
	HEATHERREEL_CHAOS_FIRST=$$seed HEATHERREEL_CHAOS_SEEDS=$(SOAK_SCHEDULES) \
		$(GO) test -count=1 -timeout $(SOAK_TIMEOUT) -run TestChaos ./internal/engine

demo: build
	$(BIN)/heatherreel-demo --bin $(BIN)

# Takes about four minutes. docs/CAPACITY.md and docs/measurements.md use the tables that it prints.
measure: build
	$(BIN)/heatherreel-measure --bin $(BIN)

clean:
	rm -rf $(BIN)
