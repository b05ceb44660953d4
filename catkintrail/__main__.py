"""Entry point of `python -m catkintrail`."""

import sys

from catkintrail import cli

sys.exit(cli.main())
