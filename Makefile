# Front end for meson: each target installs what it needs and builds first.

BUILD ?= build

.PHONY: all deps demo check soak flowsoak faultsoak bench capacity format clean

all: $(BUILD)/build.ninja
	ninja -C $(BUILD) --quiet

deps:
	scripts/install-deps.sh

$(BUILD)/build.ninja: meson.build tests/meson.build
	scripts/install-deps.sh
	meson setup --reconfigure $(BUILD) >/dev/null || meson setup $(BUILD)

demo: all
	scripts/demo.sh bureau

check: all
	BUILD=$(BUILD) scripts/check.sh

SEED ?= 1
STEPS ?= 2000000
MODE ?=
soak: all
	$(BUILD)/tests/soak $(SEED) $(STEPS) $(MODE)

BALANCERS ?= 9
AGENTS ?= 24
flowsoak: all
	$(BUILD)/tests/flow-run $(SEED) $(SECONDS) $(BALANCERS) $(AGENTS) faults

SECONDS ?= 20
PROCS ?= 12
faultsoak: all
	BUILD=$(BUILD) scripts/faultsoak.sh $(SEED) $(SECONDS) $(PROCS)

bench: all
	BUILD=$(BUILD) scripts/bench.sh

capacity: all
	BUILD=$(BUILD) scripts/capacity.sh

format:
	git ls-files -co --exclude-standard 'src/*.[ch]' 'platform/*.[ch]' \
	    'tests/*.[ch]' 'bench/*.[ch]' | \
	    grep -v 'pb-c' | xargs clang-format -i

clean:
	rm -rf $(BUILD) build-asan
