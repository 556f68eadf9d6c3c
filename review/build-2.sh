#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. It needs no network: they have no
# dependencies. The daemon comes from the build of the deploy file.
cd "$(dirname "$0")/standin-2" || exit 2
exec cargo build --release --offline --locked --target-dir ../../target/review-2
