"""Steps for the validation of callers' requests."""

import json

from behave import then, when

from cowsliprack.exceptions import ErrorKind, ServingError
from cowsliprack.protocol import caller

MESSAGE = json.dumps({'role': 'user', 'content': 'a' * 30})


def _result_or_error(function, *arguments):
    try:
        return function(*arguments)
    except ServingError as error:
        assert error.kind is ErrorKind.bad_request
        return error


@when("the chat body '{body}' is parsed")
def when_chat(context, body):
    raw = body.replace('MESSAGE', MESSAGE).encode()
    context.chat = _result_or_error(caller.parse_chat, raw)


@then('the caller\'s error starts with "{start}"')
def then_error(context, start):
    assert context.chat.detail.startswith(start), context.chat.detail


@then('{prompt:d} prompt tokens and {output:d} output tokens are reserved')
def then_tokens(context, prompt, output):
    chat = context.chat
    assert (chat.prompt_tokens, chat.output_tokens) == (prompt, output), chat
    assert chat.reserved_tokens == prompt + output


@then('the body for the target limits the output to {limit:d} tokens')
def then_limit(context, limit):
    assert json.loads(context.chat.body)['max_tokens'] == limit


@when('the request header "{header}" is parsed')
def when_header(context, header):
    pairs = [line.split(': ') for line in header.split(' | ')]
    raw = [(name.encode(), text.encode('latin-1')) for name, text in pairs]
    name = pairs[0][0].lower()
    if name == 'x-priority':
        context.parsed = _result_or_error(caller.parse_priority, raw)
    elif name == 'idempotency-key':
        context.parsed = _result_or_error(caller.parse_idempotency_key, raw)
    else:
        context.parsed = _result_or_error(caller.parse_deadline, raw, 60)


@then('the parsed header is "{outcome}"')
def then_parsed(context, outcome):
    is_error = isinstance(context.parsed, ServingError)
    assert ('error' if is_error else str(context.parsed)) == outcome
