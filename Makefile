PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin
export PYTHONPATH = $(CURDIR)

.PHONY: setup demo test protections binary bench slopes format lock

setup: $(VENV)/installed.txt

$(VENV)/installed.txt: requirements/dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes --requirement requirements/dev.txt
	cp requirements/dev.txt $@

demo: setup
	$(BIN)/python -m tools.demo

test: setup
	PYTHON=$(PYTHON) COWSLIPRACK_VENV=$(VENV) .ci/run

# Removes each protection in turn and checks that its feature fails.
protections: setup
	$(BIN)/python -m tools.check_protections

binary: setup
	$(BIN)/python -m tools.build_binary dist/cowsliprack

# The order of sets depends on the hash seed, and with it ties in a run.
bench: setup
	PYTHONHASHSEED=0 $(BIN)/python -m tools.bench.policy

slopes: setup
	$(BIN)/python -m tools.bench.slopes

format: setup
	$(BIN)/ruff check --quiet --fix .
	$(BIN)/ruff format .

lock: setup
	$(BIN)/uv pip compile --quiet --generate-hashes --python-version 3.11 --no-emit-index-url --no-emit-find-links --no-annotate --no-header pyproject.toml --output-file requirements/run.txt
	$(BIN)/uv pip compile --quiet --generate-hashes --allow-unsafe --python-version 3.11 --no-emit-index-url --no-emit-find-links --no-annotate --no-header --extra dev pyproject.toml --output-file requirements/dev.txt
