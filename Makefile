GO ?= go
TOOLS := .tools

.PHONY: all build test demo measure capacity soak fuzz tools fmt lint generate

all: build

build:
	$(GO) build -o .out/ . ./cmd/...

# SKIP is a regular expression of the tests to skip.
SKIP ?=

# CROWD is the package whose tests need the machine for themselves.
CROWD := ./platform/crowd

test:
	$(GO) test -count=1 $(if $(SKIP),-skip '$(SKIP)') $$($(GO) list ./... | grep -v '/platform/crowd$$')
	$(GO) test -count=1 $(if $(SKIP),-skip '$(SKIP)') $(CROWD)

demo: build
	.out/standin demo --binary .out/carawaypick --folder demo

measure: build
	.out/measure

capacity: build
	.out/measure capacity spread

# SOAK is the number of seeds of make soak, CASES the number of cases per property and seed.
SOAK ?= 10
CASES ?= 1000

soak:
	@for seed in $$(seq 1 $(SOAK)); do \
		echo "== seed $$seed"; \
		RAPID_SEED=$$seed RAPID_CHECKS=$(CASES) $(GO) test -count=1 ./internal/balance ./internal/binding ./internal/ticket ./internal/gossip ./pkg/expert || exit 1; \
	done

tools: $(TOOLS)/golangci-lint $(TOOLS)/buf

$(TOOLS)/golangci-lint: tools/lint/go.sum
	cd tools/lint && $(GO) build -o ../../$(TOOLS)/ github.com/golangci/golangci-lint/v2/cmd/golangci-lint

$(TOOLS)/buf: tools/proto/go.sum
	cd tools/proto && $(GO) build -o ../../$(TOOLS)/ github.com/bufbuild/buf/cmd/buf google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc

fmt: tools
	$(TOOLS)/golangci-lint fmt

lint: tools
	$(TOOLS)/golangci-lint run

generate: tools
	$(TOOLS)/buf generate

# FUZZ is the number of inputs per fuzz target, in the syntax of -fuzztime.
FUZZ ?= 2000x

fuzz:
	@for f in $$(grep -rl --include='*_test.go' '^func Fuzz' internal pkg platform); do \
		for n in $$(sed -n 's/^func \(Fuzz[A-Za-z0-9]*\)(.*/\1/p' $$f); do \
			echo "== $$(dirname $$f) $$n"; \
			$(GO) test -run '^$$' -fuzz "^$$n\$$" -fuzztime $(FUZZ) -fuzzminimizetime 100x -parallel 2 ./$$(dirname $$f) || exit 1; \
		done; \
	done
