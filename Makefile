# Both targets do all their own set-up on a fresh machine with Python 3.11.
PYTHON ?= python3.11
VENV ?= .venv
export PYTHONPATH := packages/cicadatrail-core/src:packages/cicadatrail-node/src:packages/cicadatrail-cli/src:.
BIN := $(VENV)/bin

.PHONY: demo test check format measure

$(VENV)/.ready: constraints.txt requirements-dev.txt packages/cicadatrail-core/pyproject.toml packages/cicadatrail-node/pyproject.toml packages/cicadatrail-cli/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt -r requirements-dev.txt
	touch $@

demo: $(VENV)/.ready
	$(BIN)/python -m features.support.demo

check: $(VENV)/.ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy packages features

test: $(VENV)/.ready
	$(BIN)/python -m features.support.run_tests

format: $(VENV)/.ready
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
