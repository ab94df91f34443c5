#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: they are Python, so each file is compiled once into a
# temporary folder, and the libraries of the deploy file's build are checked.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review"
PYTHONPYCACHEPREFIX="$(mktemp -d)"
export PYTHONPYCACHEPREFIX
trap 'rm -rf "$PYTHONPYCACHEPREFIX"' EXIT
python3 -m compileall -q standins review
python3 -c 'import harness.backend, harness.client, harness.fleet, dotterelfront.node'
