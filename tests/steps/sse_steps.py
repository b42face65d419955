"""Steps for the parsing of event streams."""

import json

from behave import then, when

from cowsliprack.exceptions import ErrorKind, ServingError
from cowsliprack.protocol import sse


def _encode_event(word):
    kind, _, text = word.partition(':')
    if kind == 'RAW':
        return f'{text}\n\n'.encode()
    if kind == 'CUT':
        return text.encode()
    if word == 'END':
        return sse.DONE_EVENT
    if word == 'ERR':
        return b'data: {"error": "out of memory"}\n\n'
    number = '' if word[1:] == '-' else f'id: {word[1:]}\n'
    chunk = json.dumps({'id': word[0], 'word': word})
    return f'{number}data: {chunk}\n\n'.encode()


def _parse(context, parser, stream, size):
    """Feed a stream in chunks; return the relayed events and the state."""
    relayed = []
    state = 'complete'
    try:
        for start in range(0, len(stream), size):
            for event in parser.feed(stream[start : start + size]):
                word = json.loads(event.payload).get('word', 'ERR')
                assert event.failed is (word == 'ERR')
                relayed.append(word)
        parser.finish()
    except sse.StreamError:
        state = 'broken'
    return relayed, state


def _parse_events(context, words, position=None):
    stream = b''.join(_encode_event(word) for word in words.split())
    results = [
        _parse(context, sse.EventStreamParser('A', position), stream, size)
        for size in (1, 7, len(stream) or 1)
    ]
    # The result must not depend on how the network splits the stream.
    assert results.count(results[0]) == len(results), results
    context.relayed, context.state = results[0]


@when('the target of request A streams "{words}"')
def when_streamed(context, words):
    _parse_events(context, words)


@when('the target of request A streams ""')
def when_empty(context):
    _parse_events(context, '')


@when('the target of request A resumes after {position:d} with "{words}"')
def when_resumed(context, position, words):
    _parse_events(context, words, position)


@when('the target of request A streams an event of {size:d} bytes')
def when_long(context, size):
    parser = sse.EventStreamParser('A')
    context.relayed, context.state = [], 'complete'
    parser.feed(b'data: ')
    try:
        for _ in range(size // 1000):
            parser.feed(bytes(1000))
    except sse.StreamError:
        context.state = 'broken'


@then('the caller receives "{relayed}" and the stream is "{state}"')
def then_relayed_state(context, relayed, state):
    assert context.relayed == relayed.split(), context.relayed
    assert context.state == state


@then('the caller receives "" and the stream is "{state}"')
def then_nothing_relayed(context, state):
    then_relayed_state(context, '', state)


@then('the error event of "{kind}" contains "{ran}" and no end marker')
def then_error_event(context, kind, ran):
    event = sse.format_error(ServingError(ErrorKind(kind), 'cut'))
    assert json.loads(event[6:])['error']['ran'] == ran
    assert event.endswith(b'}\n\n')
    assert b'[DONE]' not in event
