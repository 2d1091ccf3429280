"""Entry point of ``python -m cicadatrail``."""

import sys

from cicadatrail.main import main

sys.exit(main())
