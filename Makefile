# Build, test, lint and run, for people; the operators' own way is deploy/balancer.toml.
PYTHON = .venv/bin/python
CONFIG = deploy/example.json

.PHONY: build test lint check format run
build: .venv/dev

.venv/dev: requirements.txt pyproject.toml
	sh deploy/build.sh
	$(PYTHON) -m pip -q install -e '.[dev]'
	touch .venv/dev

test: build
	$(PYTHON) -m unittest discover -s tests -t .

# What CI runs.
check: lint test

lint: build
	.venv/bin/ruff format --check foxspread tests bench .ci
	.venv/bin/ruff check foxspread tests bench .ci
	.venv/bin/mypy

# Mends layout, and what the linter can mend by itself.
format: build
	.venv/bin/ruff format foxspread tests bench .ci
	.venv/bin/ruff check --fix foxspread tests bench .ci

run: build
	EDGE_CONFIG=$(CONFIG) exec $(PYTHON) -m foxspread
