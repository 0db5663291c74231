VENV ?= .venv
# Failures that KNOWN-RED.txt lists are printed and passed over.
PYTEST_ARGS ?= -p tests.known_red --known-red KNOWN-RED.txt
PY := $(VENV)/bin/python
STAMP := $(VENV)/.almondspindle-ready

.PHONY: demo demo-up test bench soak lint format

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q --disable-pip-version-check -r requirements-dev.txt
	$(PY) -m pip install -q --disable-pip-version-check --no-build-isolation --no-deps -e .
	touch $(STAMP)

demo: $(STAMP)
	$(PY) -m demo

demo-up: $(STAMP)
	$(PY) -m demo --up

test: $(STAMP)
	$(PY) -m pytest $(PYTEST_ARGS)

bench: $(STAMP)
	$(PY) -m bench

# Of the soak: the first seed, and for how long further ones are played.
SEED ?= 1
MINUTES ?= 5

soak: $(STAMP)
	$(PY) -m soak --seed $(SEED) --minutes $(MINUTES)

lint: $(STAMP)
	$(PY) -m black --check -q almondspindle tests bench demo soak
	$(PY) -m ruff check almondspindle tests bench demo soak
	$(PY) -m mypy

format: $(STAMP)
	$(PY) -m black -q almondspindle tests bench demo soak
	$(PY) -m ruff check --fix almondspindle tests bench demo soak

.PHONY: docs
docs: $(STAMP)
	$(PY) -m almondspindle.utils.reference docs/ref
