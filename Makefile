PYTHON ?= python3
VENV = .venv
BIN = $(VENV)/bin

.PHONY: demo test lint format bench clean

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock
	$(BIN)/pip install -q --no-deps -e .
	touch $@

demo: $(VENV)/.ready
	$(BIN)/wrenspoke demo

test: $(VENV)/.ready
	$(BIN)/ruff format --check wrenspoke tests features platform deploy
	$(BIN)/flake8 wrenspoke tests features platform deploy
	$(BIN)/python -m pytest -q -n 4
	$(BIN)/behave -q features
	$(BIN)/python -m benches.start --runs 3

lint: $(VENV)/.ready
	$(BIN)/ruff format --check wrenspoke tests features platform deploy
	$(BIN)/flake8 wrenspoke tests features platform deploy

format: $(VENV)/.ready
	$(BIN)/ruff format wrenspoke tests features platform deploy

clean:
	rm -rf $(VENV) .run
