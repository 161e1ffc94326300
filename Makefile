GOLANGCI_LINT_VERSION := v2.15.0
GOBIN := $(shell go env GOPATH)/bin

.PHONY: help build test lint format demo long mutations regression measure-control measure-calls

help: ## list the make targets
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:.*## /: /'

build: ## build the program
	go build -o clementinerock .

test: ## run the tests
	go test ./...

$(GOBIN)/golangci-lint:
	go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)

lint: $(GOBIN)/golangci-lint ## check formatting and code
	$(GOBIN)/golangci-lint run ./...

format: $(GOBIN)/golangci-lint ## format the code
	$(GOBIN)/golangci-lint fmt ./...

demo: ## run both demos
	go run . demo -mesh viti
	go run . demo -mesh bellenblaas

SEED ?= 0
CHECKS ?= 2000

long: ## run the randomised tests with many checks; SEED=N repeats a run, CHECKS=N sets their number
	go test ./internal/mesh/gossiper ./internal/config/... ./internal/call/... -run Random -rapid.seed=$(SEED) -rapid.checks=$(CHECKS) -timeout 2h

mutations: ## break one rule at a time in a copy of the code; a test must fail each time
	.ci/mutations

BENCH ?= fleetbench
KIT ?= .
SITES ?= further/otcr-mesh.toml further-grown/otcr-mesh-grown.toml large/vsha-mesh-large.toml

regression: ## score the users' deployments; BENCH=program, KIT=folder of the site files
	for site in $(SITES); do $(BENCH) score $(KIT)/$$site --quick --jobs 3 --why "regression run" || exit 1; done

measure-control: ## measure convergence and control traffic
	go run . measure control

measure-calls: ## measure the call path and compare it with baselines
	go run . measure calls
