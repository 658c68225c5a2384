#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[[ -x target/review-2/shared_part && -x target/release/camphorweir-entry ]] || exit 2
exec target/review-2/shared_part "$folder/record.txt"
