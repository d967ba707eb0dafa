PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo test check

setup: $(VENV)/.done

$(VENV)/.done: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable ".[test]"
	touch $@

demo: setup
	$(BIN)/wasabiramp demo

check: setup
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check --quiet .

test: check
	$(BIN)/python -m tests.suite
