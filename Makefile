# Entry points for people and CI. `make demo` and `make test` do everything on a
# fresh Debian 12 machine, the installation of packages included.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all packages build demo test check check-format check-tidy check-model \
        check-fuzz check-docs format clean

all: build

packages:
	./.ci/install-packages

build: packages
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

demo: build
	BRONZEDEAL_BUILD=$(abspath $(BUILD)) python3 -B bench/demo.py

test: build
	./.ci/run-tests $(BUILD)

check: check-format check-tidy

check-format:
	./.ci/check-format

check-tidy: build
	./.ci/check-tidy $(BUILD)

check-model:
	./.ci/check-model

check-fuzz:
	./.ci/check-fuzz

format:
	./.ci/check-format --fix

clean:
	rm -rf $(BUILD) build-fuzz out
