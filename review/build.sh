#!/usr/bin/env bash
# Check that the stand-ins of the cases can be imported. They are Python and
# need only what the build of the deploy file has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:."
python3 -c "import review.cases, review.rig, standins.site_store"
