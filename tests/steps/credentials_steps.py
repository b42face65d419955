"""Steps for the removal of the caller's key."""

import base64

from behave import then, when

from cowsliprack.exceptions import ServingError
from cowsliprack.protocol import credentials

KEY = 'sk-acme-01234567'


def _fill(text):
    basic = base64.b64encode(f'user:{KEY}'.encode()).decode()
    encoded = ''.join(f'%{ord(letter):02x}' for letter in KEY)
    filled = text.replace('BASIC', basic).replace('ENC', encoded)
    return filled.replace('KEY', KEY)


@when(
    'a request with the headers "{headers}" and the query "{query}" is cleaned'
)
def when_cleaned(context, headers, query):
    pairs = [line.split(': ', 1) for line in _fill(headers).split(' | ')]
    raw = [(name.encode(), text.encode()) for name, text in pairs]
    context.error = None
    try:
        context.cleaned = credentials.extract_key(raw, _fill(query).encode())
    except ServingError as error:
        context.error = error


def _seen(cleaned):
    lines = [
        f'{name.decode()}: {text.decode()} ' for name, text in cleaned.headers
    ]
    return f'{"".join(lines)}?{cleaned.query.decode()}'


@then('the key is found and "{kept}" is what a target sees')
def then_key(context, kept):
    assert context.cleaned.key == KEY, context.cleaned
    assert _seen(context.cleaned) == kept, _seen(context.cleaned)


@then('no key is found and "{kept}" is what a target sees')
def then_no_key(context, kept):
    assert context.cleaned.key is None
    assert _seen(context.cleaned) == kept, _seen(context.cleaned)


@then('cleaning fails as "{kind}" and the error holds no key')
def then_cleaning_fails(context, kind):
    assert context.error.kind.value == kind
    assert KEY not in context.error.detail


@then("the body '{body}' is {answer}")
def then_body(context, body, answer):
    try:
        credentials.reject_key_in_body(_fill(body).encode(), KEY)
    except ServingError:
        assert answer == 'refused'
    else:
        assert answer == 'taken'
