#!/usr/bin/env bash
# Builds the stand-ins of all cases with the compiler alone: standard library only, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[123]; do
    [ -f "$case/stand-in" ] || continue
    name=$(cat "$case/stand-in")
    rustc --edition 2021 -O -o "target/review/$name" "review/stand-ins/$name.rs"
done
