"""In-memory object store whose calls can fail before or after their effect."""

from cowsliprack.exceptions import StoreConflictError, StoreUnavailableError
from cowsliprack.protocol.store import StoredObject


class InMemoryStore:
    """Implements ``ObjectStore`` without watches.

    :param faults: consumed one per call: ``ok``, ``before`` or ``after`` the
        effect; ``down`` applies to all further calls.
    """

    era = 0
    regained_at = float('-inf')
    # Calls of each kind that were answered.
    lists = 0
    writes = 0

    def __init__(self, faults=()):
        self.objects_by_key = {}
        self.faults = list(faults)
        self.version = 0

    async def read(self, key):
        return self.call(self.objects_by_key.get, key)

    async def create(self, key, body):
        return self.call(self._put, key, body, None)

    async def update(self, key, body, expected_version):
        return self.call(self._put, key, body, expected_version)

    async def delete(self, key, expected_version):
        return self.call(self._delete, key, expected_version)

    async def list(self, prefix):
        if self.faults[:1] == ['down']:
            raise StoreUnavailableError('down')
        self.lists += 1
        objects = self.objects_by_key.values()
        return [found for found in objects if found.key.startswith(prefix)]

    def call(self, function, *arguments):
        fault = self.faults[0] if self.faults else 'ok'
        if self.faults and fault != 'down':
            self.faults.pop(0)
        if fault in {'before', 'down'}:
            raise StoreUnavailableError(fault)
        outcome = function(*arguments)
        if fault == 'after':
            raise StoreUnavailableError(fault)
        return outcome

    def _check(self, key, expected_version):
        stored = self.objects_by_key.get(key)
        if (stored.version if stored else None) != expected_version:
            raise StoreConflictError(key)

    def _put(self, key, body, expected_version):
        self._check(key, expected_version)
        self.version += 1
        self.writes += 1
        self.objects_by_key[key] = StoredObject(key, self.version, body)
        return self.objects_by_key[key]

    def _delete(self, key, expected_version):
        self._check(key, expected_version)
        self.objects_by_key.pop(key)
