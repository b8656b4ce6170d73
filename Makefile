PYTHON ?= python3
VENV ?= .venv
SEED ?= 1
STEPS ?= 200000

.PHONY: demo test lint format catalogue soak breaks bench-path

$(VENV)/installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $@

demo: $(VENV)/installed
	$(VENV)/bin/dotterelplank demo

test: $(VENV)/installed
	$(VENV)/bin/python -m pytest

lint: $(VENV)/installed
	$(VENV)/bin/black --check --quiet src tests
	$(VENV)/bin/isort --check-only --quiet src tests
	$(VENV)/bin/flake8 src tests

format: $(VENV)/installed
	$(VENV)/bin/black --quiet src tests
	$(VENV)/bin/isort --quiet src tests

catalogue: $(VENV)/installed
	$(VENV)/bin/python -m dotterelplank.catalogue

breaks: $(VENV)/installed
	$(VENV)/bin/python tests/breaks.py

bench-path: $(VENV)/installed
	$(VENV)/bin/python tests/run_bench_path.py

soak: $(VENV)/installed
	$(VENV)/bin/dotterelplank soak --seed $(SEED) --steps $(STEPS)
