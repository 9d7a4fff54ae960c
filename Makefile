# The README uses `make demo` and `make check`.
SHELL := /bin/bash
BUILD ?= build
JOBS ?= $(shell nproc)
# Property tests use a fixed seed and case count, so that test runs are reproducible.
export RC_PARAMS ?= seed=20261204 max_success=100
EXCLUDE ?=
SEED ?= 1
MINUTES ?= 10

.PHONY: deps build format format-check names-check lint test check demo measure soak clean

deps:
	tools/install_packages.sh

build:
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

format:
	git ls-files -co --exclude-standard '*.h' '*.cc' | xargs -r clang-format -i

format-check:
	git ls-files -co --exclude-standard '*.h' '*.cc' | xargs -r clang-format --dry-run -Werror

lint: build
	tools/lint.sh $(BUILD) $(JOBS)

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4 $(if $(EXCLUDE),-E '$(EXCLUDE)')

names-check:
	platform/check_names.sh

check: deps format-check names-check build lint test

demo: deps build
	tools/demo.sh $(BUILD)

measure: deps build
	tools/measure.sh $(BUILD)

soak: deps build
	tools/soak.sh $(BUILD) $(SEED) $(MINUTES)

clean:
	cmake -E rm -rf $(BUILD)
