#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 start. Standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/standin-3/*.rs; do
    name=$(basename "$case" .rs)
    [ "$name" = common ] && continue
    rustc --edition 2024 -O "$case" -o "target/review-3/$name"
done
