VENV ?= .venv
PYTHON ?= python3.11
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: test check demo clean

test: check
	$(BIN)/python -m pytest -n 4

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/mypy demo benchmarks

demo: $(STAMP)
	$(BIN)/python -m demo

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev,plot]'
	touch $@

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .pytest_cache .hypothesis
