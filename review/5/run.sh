#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review" PYTHONDONTWRITEBYTECODE=1
exec timeout -k 3 115 python3 "$here/case.py"
