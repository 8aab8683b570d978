BINARIES := chestnut-router chestnut-controller chestnutctl chestnut-load chestnut-standin
RACE_PACKAGES := $(shell go list ./internal/... ./intent/...)

.PHONY: build demo capacity test fmt

build:
	go build -o bin/ ./cmd/...

demo: build
	bin/chestnut-load demo

capacity: build
	bin/chestnut-load capacity

test:
	bash .ci/run

fmt:
	go tool gofumpt -w cmd internal intent platform
