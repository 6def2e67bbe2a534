BUILD ?= build
JOBS ?= $(shell nproc)
PACKAGES = cmake ninja-build g++ pkg-config clang-format clang-tidy libasio-dev libzmq3-dev cppzmq-dev libprotobuf-dev \
  protobuf-compiler libcpp-httplib-dev libcli11-dev libfmt-dev catch2 libboost-dev libyaml-cpp-dev nlohmann-json3-dev libxxhash-dev \
  libssl-dev libbenchmark-dev gnuplot-nox libhttp-parser-dev libspdlog-dev prometheus-cpp-dev

.PHONY: all packages build test check format demo bench sanitize proto

all: build

packages:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || (apt-get update && DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends $(PACKAGES))

build: packages
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD) -j $(JOBS)

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4

check: build
	scripts/check.sh $(BUILD)

format:
	git ls-files '*.hpp' '*.cpp' | xargs clang-format -i

demo: build
	BUILD_DIR=$(BUILD) scripts/demo.sh

bench: build
	BUILD_DIR=$(BUILD) scripts/bench.sh

sanitize: packages
	cmake --preset asan && cmake --build --preset asan && ctest --preset asan
	cmake --preset tsan && cmake --build --preset tsan && ctest --preset tsan

proto:
	cd src/heathermoor/wire && protoc --cpp_out=. heathermoor.proto
