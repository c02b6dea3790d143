PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: run test lint types unit format binary protocol clean

run: $(STAMP)
	$(BIN)/catkindrift demo

test: lint types unit

lint: $(STAMP)
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/flake8 src tests

types: $(STAMP)
	$(BIN)/mypy

unit: $(STAMP)
	$(BIN)/python -m pytest

format: $(STAMP)
	$(BIN)/ruff check --fix src tests
	$(BIN)/ruff format src tests

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
