PYTHON ?= python3.11
HOUSE ?= hire
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test format install protocol

$(VENV)/installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -c constraints.txt -e '.[dev]'
	touch $@

install: $(VENV)/installed

demo: install
	$(BIN)/dandelionwinch demo --house $(HOUSE)

test: install
	$(BIN)/ruff format --check dandelionwinch
	$(BIN)/ruff check dandelionwinch
	$(BIN)/flake8 dandelionwinch
	$(BIN)/python -m pytest

format: install
	$(BIN)/ruff check --fix dandelionwinch
	$(BIN)/ruff format dandelionwinch

protocol: install
	PATH="$(abspath $(BIN)):$$PATH" $(BIN)/python -m grpc_tools.protoc -I. --python_out=. \
	    --grpclib_python_out=. dandelionwinch/peers/peer.proto
