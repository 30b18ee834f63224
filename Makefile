VENV ?= .venv
PYTHON ?= python3
SEEDS ?= 1-6
JOBS ?= 2
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: demo test lint bench soak format study-resume study-moves study-rollout

$(READY): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --no-deps -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $(READY)

demo: $(READY)
	sh demo/run.sh $(BIN)

test: $(READY)
	$(BIN)/python -m tests

lint: $(READY)
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

format: $(READY)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(READY)
	$(BIN)/python -m bench

soak: $(READY)
	$(BIN)/python -m soak --seeds $(SEEDS) --jobs $(JOBS)

study-resume: $(READY)
	$(BIN)/python -m bench.resume

study-moves: $(READY)
	$(BIN)/python -m bench.moves

study-rollout: $(READY)
	$(BIN)/python -m bench.rollouts
