# Build, test, lint and run, for people; the operators' own way is deploy/balancer.toml.
PYTHON = .venv/bin/python
CONFIG = deploy/example.json

.PHONY: build test lint run
build: .venv/built

.venv/built: requirements.txt pyproject.toml
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -e '.[dev]'
	touch .venv/built

test: build
	$(PYTHON) -m unittest discover -s tests -t .

lint: build
	.venv/bin/ruff check foxspread tests

run: build
	EDGE_CONFIG=$(CONFIG) exec $(PYTHON) -m foxspread
