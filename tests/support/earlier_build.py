"""Earlier builds of the program, from the history of the repository."""

import functools
import io
import subprocess
import tarfile
import tempfile
from pathlib import Path

_REPOSITORY = Path(__file__).parents[2]
# Kept until the process ends.
_folders = []


@functools.cache
def earlier_build(commit):
    """Return a folder with the package of a commit.

    :param commit: its id.
    """
    archive = subprocess.run(  # noqa: S603
        ['git', '-C', str(_REPOSITORY), 'archive', commit, 'cowsliprack'],  # noqa: S607
        capture_output=True,
        check=False,
    )
    assert not archive.returncode, (
        'the history of the repository is needed',
        archive.stderr,
    )
    folder = tempfile.TemporaryDirectory()
    _folders.append(folder)
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as content:
        content.extractall(folder.name, filter='data')
    return Path(folder.name)
