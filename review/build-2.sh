#!/bin/sh
# Checks that the stand-ins of cases 6 to 10 can be loaded; they need no other build.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:. exec python3 -c "
import features.standins.platform_fleet, features.standins.platform_store
import review.second.advice, review.second.deployment, review.second.gang_workers"
