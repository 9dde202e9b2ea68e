VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
KEEP ?= 0

.PHONY: setup demo test soak bench lint format types model features clean

setup: $(STAMP)

$(STAMP): pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	@$(BIN)/python -m tools.demo --keep $(KEEP)

test: lint types model features

format: $(STAMP)
	$(BIN)/ruff format src standins features bench tools deploy soak
	$(BIN)/ruff check --fix src standins features bench tools deploy soak

lint: $(STAMP)
	$(BIN)/ruff format --check src standins features bench tools deploy soak
	$(BIN)/ruff check src standins features bench tools deploy soak

types: $(STAMP)
	$(BIN)/mypy

model: $(STAMP)
	@command -v spin >/dev/null || (apt-get update -qq && apt-get install -y -qq spin)
	$(BIN)/python -m tools.model_check

features: $(STAMP)
	$(BIN)/python -m tools.run_features

soak: $(STAMP)
	$(BIN)/python -m soak.run --seeds 1-50

bench: $(STAMP)
	$(BIN)/python -m bench.run

clean:
	rm -rf build .mypy_cache .ruff_cache .hypothesis
