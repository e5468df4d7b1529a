#!/usr/bin/env bash
# Checks that all stand-ins of the scripts can be imported after the build of the
# deploy file. They are Python modules of this repository, so nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:." python3 -c "import review.rig_2"
