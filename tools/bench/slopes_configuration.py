"""Processor time and bytes to encode and distribute a configuration."""

import functools
import random
import time
from dataclasses import replace

import msgspec

from cowsliprack.coordination.distribution import ConfigurationRelay
from cowsliprack.protocol.configuration_codec import (
    EncodedConfiguration,
    encode_configuration,
)
from cowsliprack.protocol.peer import encode_message
from cowsliprack.state.configuration import Configuration
from tools.bench import samples
from tools.bench.measure import Row, processor_microseconds

_ADAPTER_COUNTS = (6000, 18_000, 54_000)
_TARGETS = 2500
_MEASURED_CHANGES = 5
_MICROSECONDS_PER_SECOND = 1_000_000


def configuration_rows() -> list[Row]:
    """Return the cost to encode and to change at three sizes."""
    rows: list[Row] = []
    for count in _ADAPTER_COUNTS:
        rows.extend(_rows_for(count))
    return rows


def _rows_for(count: int) -> list[Row]:
    configuration = samples.make_configuration(count, _TARGETS)
    encoded = encode_configuration(configuration)
    shard_bytes = [
        len(msgspec.json.encode(body)) for body in encoded.shards.values()
    ]
    encode_microseconds = processor_microseconds(
        functools.partial(encode_configuration, configuration),
    )
    source = make_relay(encoded)
    peer = make_relay(encoded)
    change_microseconds, change_bytes = _measure_change(
        source, peer, configuration
    )
    return [
        Row(
            'configuration: encode into shards (operator)',
            'adapters',
            count,
            encode_microseconds,
            sum(shard_bytes),
        ),
        Row(
            'configuration: largest shard',
            'adapters',
            count,
            0,
            max(shard_bytes),
        ),
        Row(
            'configuration: one change, taken by a peer',
            'adapters',
            count,
            change_microseconds,
            change_bytes,
        ),
    ]


def encode_sample(adapters: int) -> EncodedConfiguration:
    """Return the manifest and shards of a sample configuration.

    :param adapters: number of adapters.
    """
    return encode_configuration(samples.make_configuration(adapters, _TARGETS))


def make_relay(encoded: EncodedConfiguration) -> ConfigurationRelay:
    """Return a relay that has received a configuration.

    :param encoded: manifest and shards.
    """
    relay = ConfigurationRelay(random.Random(samples.SEED), 0)
    _apply_encoded(relay, encoded)
    return relay


def _apply_encoded(
    relay: ConfigurationRelay, encoded: EncodedConfiguration
) -> None:
    relay.on_manifest(encoded.manifest, 0)
    for number in tuple(relay.missing_shards()):
        relay.on_shard(number, encoded.shards[number])


def _measure_change(
    source: ConfigurationRelay,
    peer: ConfigurationRelay,
    configuration: Configuration,
) -> tuple[float, int]:
    """Return the mean cost of a change at the peer.

    :returns: microseconds of processor time, and bytes sent both ways.
    """
    spent_seconds = float(0)
    message_bytes = 0
    current = configuration
    for change in range(1, _MEASURED_CHANGES + 1):
        current = _with_new_version(current, change)
        _apply_encoded(source, encode_configuration(current))
        peer.on_announcement('source', current.generation, change)
        start = time.process_time()
        pulls = peer.tick(change)
        spent_seconds += time.process_time() - start
        for answer in source.on_pull(pulls[0].message):
            start = time.process_time()
            peer.on_shards(answer, change)
            spent_seconds += time.process_time() - start
            message_bytes += len(encode_message(answer))
        message_bytes += len(encode_message(pulls[0].message))
        if peer.generation != current.generation:
            raise RuntimeError(
                'the peer did not receive the changed configuration'
            )
    return (
        spent_seconds / _MEASURED_CHANGES * _MICROSECONDS_PER_SECOND,
        message_bytes // _MEASURED_CHANGES,
    )


def _with_new_version(
    configuration: Configuration, change: int
) -> Configuration:
    name = f'adapter-{change}'
    deployments = dict(configuration.deployments_by_name)
    deployments[name] = replace(deployments[name], version=f'v{change + 1}')
    return replace(
        configuration,
        generation=configuration.generation + 1,
        deployments_by_name=deployments,
    )
