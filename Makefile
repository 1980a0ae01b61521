# The commands of README.md. Each installs what it needs on a fresh machine.
BUILD ?= build
JOBS ?= $(shell n=$$(nproc); [ $$n -gt 8 ] && echo 8 || echo $$n)
SEEDS ?= 200
FIRST ?= 1
AT_ONCE ?= 3

.PHONY: all build run test check-docs bench soak fault-soak lint format install clean

all: build

build:
	@scripts/install_dependencies.sh
	@cmake -G Ninja -B $(BUILD) -S . > /dev/null
	@ninja -C $(BUILD) -j $(JOBS)

run: build
	@scripts/run_demo.sh $(BUILD) $(KEEP)

test: build
	@ctest --test-dir $(BUILD) --output-on-failure -j 4 \
	  $(if $(SKIP),-E "$(SKIP)")

check-docs: build
	@scripts/check_docs.sh $(BUILD)

soak: build
	@scripts/soak.sh $(BUILD) $(SEEDS)

fault-soak: build
	@scripts/fault_soak.sh $(BUILD) $(SEEDS) $(FIRST) $(AT_ONCE)

bench: build
	@scripts/bench.sh $(BUILD)

lint: build
	@scripts/lint.sh $(BUILD)

format:
	@git ls-files '*.cc' '*.h' | grep -v /generated/ | xargs clang-format -i

install: build
	@cmake --install $(BUILD)

clean:
	@rm -rf $(BUILD)
