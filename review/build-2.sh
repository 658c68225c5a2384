#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10; they need the toolchain of the project and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.rs; do
    name=$(basename "$source" .rs)
    [[ $name == common ]] && continue
    rustc --edition 2024 -O -o "target/review-2/$name" "$source"
done
