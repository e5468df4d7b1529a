#!/usr/bin/env bash
# Checks that everything that the cases 11 to 15 start can be imported. The stand-ins
# are Python modules that need only what the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
python3 -c "import standins.site, soak.proxies, review.rig_3"
python3 -c "import pollenladder.service.dispatcher"
