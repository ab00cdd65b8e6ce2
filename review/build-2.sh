#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 with the compiler alone. Run the deploy file's build first.
set -eu
cd "$(dirname "$0")/stand-ins-2"
out=../../target/review-2
mkdir -p "$out"
for case in window group restart plugin stuck; do
    rustc --edition 2021 -O -o "$out/$case" "$case.rs"
done
