#!/usr/bin/env bash
# Checks that the stand-ins of the cases can be used: they are Python and need no
# build of their own, only what the build of the deploy file has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps/cicadatraild
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. python3 -c '
import features.standins.platform_store, features.support.faulty_proxy
import review.deployment, review.standins
'
