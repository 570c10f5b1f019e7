# Everyday commands; each installs what it needs first.
SEEDS ?= 5
STEPS ?= 20000
# Seconds for each fuzz target: make fuzz SECONDS=30
SECONDS_PER_TARGET = $(if $(SECONDS),$(SECONDS),10)
CMAKE = cmake -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache

.PHONY: all install build check demo format lint soak soak-mutants soak-tsan bench fuzz clean

all: build

install:
	@utils/install_packages.sh

build: install
	@$(CMAKE) -S . -B build/main -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build build/main

check: build
	@utils/check.sh

demo: build
	@utils/demo.sh

format: install
	@utils/format.sh

lint: build
	@utils/lint.sh

soak: build
	@utils/soak.sh build/main $(SEEDS) $(STEPS)

soak-mutants: install
	@$(CMAKE) -S . -B build/mutants -DCMAKE_BUILD_TYPE=RelWithDebInfo -DMANGOPORT_MUTANTS=ON >/dev/null
	@cmake --build build/mutants --target soaks
	@utils/soak.sh --mutants build/mutants $(SEEDS) $(STEPS)

soak-tsan: install
	@$(CMAKE) -S . -B build/tsan -DCMAKE_BUILD_TYPE=RelWithDebInfo -DMANGOPORT_SANITIZE=thread >/dev/null
	@cmake --build build/tsan --target soaks
	@utils/soak.sh build/tsan $(SEEDS) $(STEPS)

bench: build
	@utils/bench.sh

fuzz: install
	@$(CMAKE) -S . -B build/fuzz -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_CXX_COMPILER=clang++ -DMANGOPORT_FUZZ=ON -DMANGOPORT_SANITIZE=address,undefined >/dev/null
	@cmake --build build/fuzz --target fuzzers
	@utils/fuzz.sh build/fuzz $(SECONDS_PER_TARGET)

clean:
	rm -rf build
