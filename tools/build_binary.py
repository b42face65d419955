"""Builds the single-file program, a zip application with its dependencies.

The program runs in the process of the interpreter that opens it. Native
libraries cannot be loaded from a zip file, so they are unpacked to the
directory for temporary files, which is in memory on instances: they have no
disks.
"""

import shutil
import subprocess  # noqa: S404
import sys
import tempfile
from pathlib import Path

# The environment variable SHIV_ROOT overrides it at run time.
_UNPACK_ROOT = '/tmp/cowsliprack'  # noqa: S108
_INTERPRETER = '/usr/bin/env python3.11'
_REQUIREMENTS_FILE = 'requirements/run.txt'


def main(output: str) -> None:
    """Build the program and print its size.

    :param output: path of the file to write.
    """
    Path(output).parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as site_packages:
        _run_module(
            'pip',
            'install',
            '--quiet',
            '--no-compile',
            '--require-hashes',
            f'--requirement={_REQUIREMENTS_FILE}',
            f'--target={site_packages}',
        )
        shutil.copytree(
            'cowsliprack',
            Path(site_packages) / 'cowsliprack',
            ignore=shutil.ignore_patterns('__pycache__'),
        )
        _run_module(
            'shiv',
            f'--site-packages={site_packages}',
            '--entry-point=cowsliprack.cli:main',
            f'--output-file={output}',
            f'--python={_INTERPRETER}',
            f'--root={_UNPACK_ROOT}',
            '--reproducible',
        )
    size = Path(output).stat().st_size
    print(f'{output}: {size / 1_000_000:.1f} MB')


def _run_module(module: str, *arguments: str) -> None:
    subprocess.run(  # noqa: S603
        [sys.executable, '-m', module, *arguments],
        check=True,
    )


if __name__ == '__main__':
    main(sys.argv[1])
