# Everything installs into a virtual environment of its own.
PYTHON ?= python3
VENV := .venv
STAMP := $(VENV)/installed
SEED ?= 1
# Test processes at once; the verdict doesn't depend on it.
WORKERS ?= 4

.PHONY: run test lint format soak clean

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --disable-pip-version-check -e '.[bench,test]'
	touch $(STAMP)

run: $(STAMP)
	$(VENV)/bin/python -m walkcart.bench demo

test: $(STAMP)
	$(VENV)/bin/python -m pytest -n $(WORKERS)

lint: $(STAMP)
	$(VENV)/bin/ruff check walkcart
	$(VENV)/bin/ruff format --check walkcart

format: $(STAMP)
	$(VENV)/bin/ruff check --fix walkcart
	$(VENV)/bin/ruff format walkcart

soak: $(STAMP)
	$(VENV)/bin/python -m walkcart.bench soak --seed $(SEED)

clean:
	rm -rf $(VENV) out
