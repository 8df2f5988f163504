# Commands for people; .ci/run calls `make test`.
BIN := bin
PORT ?= 7700

.PHONY: build test run up lint

build:
	go build -o $(BIN)/ ./cmd/...

test:
	go test ./...

run: build
	$(BIN)/rehearsal run --port $(PORT)

up: build
	$(BIN)/rehearsal up --port $(PORT)
