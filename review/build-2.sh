#!/usr/bin/env bash
# Builds what the cases of the second review start beside the controllers: the stand-ins, and the program with the work
# queues, which the deploy file leaves out. Everything goes below review/standins-2/target.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
build() {
    cargo build --release --locked --offline "$@" || cargo build --release --locked "$@"
}
build --target-dir target
build --manifest-path ../../Cargo.toml --package cometlead --features queues --target-dir target/project
