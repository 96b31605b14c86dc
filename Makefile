PYTHON ?= python3
BIN := .venv/bin
# Processes that run the tests: one for two cores, as tests start processes too.
TEST_WORKERS ?= $(shell echo $$(( ($$(nproc) + 1) / 2 )))

.PHONY: env lint test demo bench fleet-check soak thrift clean

env: .venv/ready

.venv/ready: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

lint: env
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

test: env
	$(BIN)/python -m pytest -n $(TEST_WORKERS) --dist worksteal \
		$$($(BIN)/python tests/known_red.py KNOWN-RED.txt)

demo: env
	$(BIN)/python -m standins.demo

bench: env
	$(BIN)/python -m bench

# BENCH is the program of the users' bench, SITES the folder of the site files.
fleet-check: env
	$(BIN)/python -m bench.regression $(if $(BENCH),--bench $(BENCH)) \
		$(if $(SITES),--sites $(SITES))

soak: env
	$(BIN)/python -m soak --seeds 50 --jobs 4

thrift:
	thrift --gen py:slots -out dotterelspread/gen thrift/peer.thrift

clean:
	rm -rf .venv .pytest_cache .hypothesis .ruff_cache results
