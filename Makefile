# Each target sets up what it needs; see README.md.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: setup lint test fuzz demo measure experiment

setup: .venv/ready

.venv/ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

test: setup
	$(BIN)/python -m pytest

# Feeds drawn documents to every decoder; SEED=N draws the same ones again.
SEED ?= 0

fuzz: setup
	$(BIN)/python -m pytest --hypothesis-profile=explore \
	  --hypothesis-seed=$(SEED) tests/cover/test_document_validation.py

demo: setup
	$(BIN)/python -m standins.demo

measure: setup
	$(BIN)/python -m standins.measure

# Compares policies on the model; see docs/MODEL.md.
EXPERIMENT ?= standins/model/experiments/turns.toml

experiment: setup
	$(BIN)/python -m standins.model $(EXPERIMENT) --out docs/measurements/model
