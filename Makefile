# Shortcuts for building with CMake and for running the tests.
PACKAGES = gcc cmake ninja-build pkg-config curl libcivetweb-dev libnng-dev libpopt-dev libjson-c-dev \
	libmsgpack-dev libsodium-dev libcriterion-dev libuv1-dev libhttp-parser-dev
SOURCES = $(shell git ls-files '*.c' '*.h')
JOBS ?= 8

.PHONY: all packages build build-asan build-tsan check unit scripts demo soak fuzz faults faults-known bench format lint \
	clean

all: build

# Installs the Debian packages above if one is missing.
packages:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || \
		{ apt-get update -qq && DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $(PACKAGES); }

build: packages
	@cmake -S . -B build -G Ninja >/dev/null && ninja -C build -j $(JOBS)

build-asan: packages
	@cmake -S . -B build-asan -G Ninja -DBR_SANITIZE=address >/dev/null && ninja -C build-asan -j $(JOBS)

build-tsan: packages
	@cmake -S . -B build-tsan -G Ninja -DBR_SANITIZE=thread >/dev/null && ninja -C build-tsan -j $(JOBS)

# Unit and randomised tests with a fixed set of seeds, under AddressSanitizer and UBSan.
unit: build-asan
	@tests/run-unit.sh build-asan

# Scripted tests over real processes, with the plain and with the ThreadSanitizer programs.
scripts: build build-tsan
	@tests/run-scripts.sh build build-tsan

check: unit scripts faults-known

demo: build
	@tests/demo.sh build

DURATION_S ?= 60
SEED ?= 1
soak: build-asan
	@tests/soak.sh build-asan $(DURATION_S) $(SEED)

# Decoders of bytes from outside under libFuzzer, FUZZ_S seconds each. Needs Debian's clang.
FUZZ_S ?= 60
FUZZ_TARGETS ?= keeper_message wire config settings report entry peer_job peer_end fetch left era record \
	http_request http_answer
fuzz: packages
	@cmake -S . -B build-fuzz -G Ninja -DCMAKE_C_COMPILER=clang -DBR_SANITIZE=fuzzer >/dev/null
	@ninja -C build-fuzz -j $(JOBS) fuzz
	@for t in $(FUZZ_TARGETS); do echo "fuzz: $$t"; FUZZ_TARGET=$$t build-fuzz/fuzz -max_total_time=$(FUZZ_S) \
		-seed=$(SEED) -max_len=8192 -print_final_stats=1 -verbosity=0 -artifact_prefix=build-fuzz/$$t- || exit 1; done

# Fault soak over real processes with RUNS seeds, from SEED on.
RUNS ?= 8
faults: build
	@tests/soak/run.sh build build 4 $$(seq $(SEED) $$(($(SEED) + $(RUNS) - 1)))

# Fault soak with the seeds that failed before, with AddressSanitizer programs.
faults-known: build build-asan
	@tests/soak/run.sh build build-asan 2 $$(cut -d' ' -f1 tests/soak/seeds.txt)

bench: build
	@tests/bench.sh build

format:
	@clang-format -i $(SOURCES)

lint: build
	@clang-format --dry-run --Werror $(SOURCES)
	@printf '%s\n' $(filter %.c,$(SOURCES)) | xargs -P $(JOBS) -n 4 clang-tidy -p build --quiet

clean:
	@rm -rf build build-asan build-tsan build-fuzz out
