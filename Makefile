PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo test test-explore soak bench lint format generate clean

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes -r requirements.lock
	touch $@

demo: setup
	$(BIN)/python -m comfreyhitch demo

test: setup
	$(BIN)/python .ci/run_tests.py

test-explore: setup
	$(BIN)/python .ci/run_tests.py --explore

soak: setup
	$(BIN)/python -m comfreyhitch.testing.soak --fresh 10 --keep soak-logs

bench: setup
	$(BIN)/python -m benchmarks

lint: setup
	$(BIN)/ruff format --check --quiet .
	$(BIN)/ruff check --quiet .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

generate:
	comfreyhitch/wire/generate.sh

clean:
	rm -rf $(VENV) .hypothesis .ruff_cache
