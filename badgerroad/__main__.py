"""Entry point of `python -m badgerroad`."""

import sys

from badgerroad.cli import main

sys.exit(main())
