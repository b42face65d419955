"""Entry point of ``python -m cowsliprack``."""

from cowsliprack.cli import main

main()
