#!/bin/sh
# Checks that the stand-ins of cases 6 to 10 can be loaded; they need no other build.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:. exec python3 -c "
import features.standins.platform_fleet, features.standins.platform_store
import review.advice_2, review.deployment_2, review.gang_workers_2"
