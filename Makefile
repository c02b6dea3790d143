PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SOURCES := $(shell find src -name '*.py' -o -name '*.json')

.PHONY: start run test lint types unit format breakage nightly soak platform-soak stop-soak bench capacity binary protocol clean

run: $(STAMP)
	$(BIN)/catkindrift demo

test: lint types unit

lint: $(STAMP)
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/flake8 src tests

types: $(STAMP)
	$(BIN)/mypy

unit: $(STAMP) dist/catkindrift
	$(BIN)/python -m pytest

# Switches mechanisms off one by one; fails if the model does not notice.
breakage: $(STAMP)
	$(BIN)/python -m tests.platform_breakage
	$(BIN)/python -m tests.breakage

# Many more examples of each model than `make test` runs.
nightly: $(STAMP)
	HYPOTHESIS_PROFILE=nightly $(BIN)/python -m pytest tests/test_fleet_model.py

# Real servers on loopback under random faults.
SEED ?= 1
MINUTES ?= 1
soak: $(STAMP)
	$(BIN)/python -m tests.soak --seed $(SEED) --minutes $(MINUTES)

# Entry VMs of the platform on loopback under random faults.
SEEDS ?= 50
platform-soak: $(STAMP)
	$(BIN)/python -m tests.platform_soak --seed $(SEED) --seeds $(SEEDS)

# Planned stops of entry VMs as processes, under callers of all kinds.
SECONDS ?= 20
stop-soak: $(STAMP)
	$(BIN)/python -m tests.stop_soak --seed $(SEED) --seeds $(SEEDS) \
		--seconds $(SECONDS)

# Each prints tables and writes them to benchmarks/results.
start: $(STAMP)
	$(BIN)/python -m benchmarks.start

bench: $(STAMP)
	$(BIN)/python -m benchmarks.decisions
	$(BIN)/python -m benchmarks.path

capacity: $(STAMP)
	$(BIN)/python -m benchmarks.capacity

format: $(STAMP)
	$(BIN)/ruff check --fix src tests
	$(BIN)/ruff format src tests

binary: dist/catkindrift

# One executable file; unpacks itself once below SHIV_ROOT, or HOME/.shiv.
dist/catkindrift: $(STAMP) requirements/runtime.txt $(SOURCES)
	rm -rf build/site && mkdir -p build/site dist
	$(BIN)/python -m pip install --quiet --target build/site --require-hashes \
		-r requirements/runtime.txt
	$(BIN)/python -m pip install --quiet --target build/site --no-deps \
		--no-build-isolation .
	$(BIN)/shiv --site-packages build/site --console-script catkindrift \
		--python '/usr/bin/env python3.11' --reproducible \
		--output-file dist/catkindrift

# Writes the generated code that is committed.
protocol: $(STAMP)
	PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/python -m grpc_tools.protoc -Isrc \
		--python_out=src --mypy_out=src --grpclib_python_out=src \
		src/catkindrift/peers/protocol/peers.proto

$(STAMP): requirements/dev.txt pyproject.toml
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes -r requirements/dev.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

clean:
	rm -rf $(VENV) build dist
