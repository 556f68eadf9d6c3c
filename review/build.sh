#!/bin/sh
# Builds the stand-ins of the cases. They use the standard library only.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --offline --locked \
    --manifest-path review/standin/Cargo.toml --target-dir target/review
