"""Steps for the removal of the caller's key."""

import base64

from behave import then, when

from cowsliprack.exceptions import ServingError
from cowsliprack.protocol import credentials

KEY = 'sk-acme-01234567'


def _replace_placeholders(text):
    basic = base64.b64encode(f'user:{KEY}'.encode()).decode()
    encoded = ''.join(f'%{ord(letter):02x}' for letter in KEY)
    replaced = text.replace('BASIC', basic).replace('ENC', encoded)
    return replaced.replace('KEY', KEY)


@when(
    'a request with the headers "{headers}" and the query "{query}" '
    'is sanitised'
)
def when_sanitised(context, headers, query):
    pairs = [
        line.split(': ', 1)
        for line in _replace_placeholders(headers).split(' | ')
    ]
    raw = [(name.encode(), text.encode()) for name, text in pairs]
    context.error = None
    try:
        context.sanitised = credentials.extract_key(
            raw, _replace_placeholders(query).encode()
        )
    except ServingError as error:
        context.error = error


def _format_request(sanitised):
    lines = [
        f'{name.decode()}: {text.decode()} ' for name, text in sanitised.headers
    ]
    return f'{"".join(lines)}?{sanitised.query.decode()}'


@then('the key is extracted and a target receives "{kept}"')
def then_key(context, kept):
    assert context.sanitised.key == KEY, context.sanitised
    assert _format_request(context.sanitised) == kept, _format_request(
        context.sanitised
    )


@then('no key is extracted and a target receives "{kept}"')
def then_no_key(context, kept):
    assert context.sanitised.key is None
    assert _format_request(context.sanitised) == kept, _format_request(
        context.sanitised
    )


@then('sanitising fails with "{kind}" and the error does not contain the key')
def then_sanitising_fails(context, kind):
    assert context.error.kind.value == kind
    assert KEY not in context.error.detail


@then("the body '{body}' is {outcome}")
def then_body(context, body, outcome):
    try:
        credentials.reject_key_in_body(
            _replace_placeholders(body).encode(), KEY
        )
    except ServingError:
        assert outcome == 'rejected'
    else:
        assert outcome == 'accepted'
