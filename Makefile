# The two commands of the README, and what developers use besides.
BUILD ?= build
JOBS ?= 6
SECONDS ?= 60

.PHONY: all setup run test bench fuzz check

all: setup
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD) -j $(JOBS)

setup:
	tools/install_packages.sh

run: all
	BIN=$(BUILD)/bin tools/demo.sh

test: all
	tools/run_tests.sh $(BUILD)

bench: all
	BIN=$(BUILD)/bin bench/run.sh

fuzz: all
	tools/fuzz.sh $(BUILD) $(SECONDS) $(SEED)

check: all
	tools/check_format_and_lint.sh $(BUILD)
