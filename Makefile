# Commands for people; .ci/run calls `make test`.
BIN := bin
PORT ?= 7700

.PHONY: build test run up soak lint

build:
	go build -o $(BIN)/ ./cmd/...

test:
	go test ./...

run: build
	$(BIN)/rehearsal run --port $(PORT)

up: build
	$(BIN)/rehearsal up --port $(PORT)

# All scenarios of faults on gateways and schedulers, TIMES seeds of each; about 8 minutes a round.
TIMES ?= 3
soak: build
	$(BIN)/rehearsal fault --port $(PORT) --times $(TIMES) rehearsal/scenarios/*.yaml
