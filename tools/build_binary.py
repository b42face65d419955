"""Builds the one-file program: a zip application with every dependency.

It runs in the process of the interpreter that opens it. Native libraries
cannot be loaded from a zip file, so they are unpacked to the directory for
temporary files, which lies in memory on instances: they have no disks.
"""

import shutil
import subprocess  # noqa: S404
import sys
import tempfile
from pathlib import Path

# Overridden at run time by SHIV_ROOT.
_UNPACK_ROOT = '/tmp/cowsliprack'  # noqa: S108
_INTERPRETER = '/usr/bin/env python3.11'
_LOCK_FILE = 'requirements/run.txt'


def main(output: str) -> None:
    """Write the program.

    :param output: path of the file.
    """
    Path(output).parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        _run(
            'pip',
            'install',
            '--quiet',
            '--no-compile',
            '--require-hashes',
            f'--requirement={_LOCK_FILE}',
            f'--target={folder}',
        )
        shutil.copytree(
            'cowsliprack',
            Path(folder) / 'cowsliprack',
            ignore=shutil.ignore_patterns('__pycache__'),
        )
        _run(
            'shiv',
            f'--site-packages={folder}',
            '--entry-point=cowsliprack.cli:main',
            f'--output-file={output}',
            f'--python={_INTERPRETER}',
            f'--root={_UNPACK_ROOT}',
            '--reproducible',
        )
    size = Path(output).stat().st_size
    print(f'{output}: {size / 1_000_000:.1f} MB')


def _run(module: str, *arguments: str) -> None:
    subprocess.run(  # noqa: S603
        [sys.executable, '-m', module, *arguments],
        check=True,
    )


if __name__ == '__main__':
    main(sys.argv[1])
