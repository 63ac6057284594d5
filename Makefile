# Each target does its own set-up: a virtual environment in the checkout.
PYTHON ?= python3
VENV = .venv
BIN = $(VENV)/bin

.PHONY: demo test lint format trinacria nkwanta

$(VENV)/ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable ".[dev]"
	touch $@

demo: $(VENV)/ready
	$(BIN)/sassafrasdoor-demo

trinacria nkwanta: $(VENV)/ready
	$(BIN)/sassafrasdoor-load --deployment samples/$@ --out out/$@

test: $(VENV)/ready
	$(BIN)/invoke test

lint: $(VENV)/ready
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

format: $(VENV)/ready
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .
