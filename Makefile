# Every target sets up what it needs; see README.md.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup check format test test-virtual-time test-real-time demo bench dist dist-check proto

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

# Tests in virtual time need processor time only, so they run beside the others.
VIRTUAL_TIME := src/cassiaturn/bench

test: $(STAMP)
	$(MAKE) --jobs=2 --output-sync=target test-virtual-time test-real-time

test-virtual-time: $(STAMP)
	$(BIN)/python -m pytest $(VIRTUAL_TIME)

test-real-time: $(STAMP)
	$(BIN)/python -m pytest --ignore=$(VIRTUAL_TIME)

demo: $(STAMP)
	$(BIN)/python -m cassiaturn.load demo

# With SCENARIO=file.yaml, that load on real processes; without, the decision
# benchmarks in virtual time against the committed baseline.
bench: $(STAMP)
ifdef SCENARIO
	$(BIN)/python -m cassiaturn.load run $(SCENARIO)
else
	$(BIN)/python -m cassiaturn.bench check
endif

dist: $(STAMP)
	$(BIN)/python tools/dist.py

# The checks of the demo, with the one file as the dispatcher.
dist-check: dist
	$(BIN)/python tools/check_dist.py

# Needs requirements-proto.lock installed; its output is committed.
proto: $(STAMP)
	$(BIN)/pip install --quiet --requirement requirements-proto.lock
	PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/python tools/generate.py
