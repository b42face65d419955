Feature: Validation of callers' requests
  Guards against invalid requests that are dropped, or run in a way that the
  caller did not ask for (P3, P8): each is rejected with an error that names the
  invalid field.

  Scenario Outline: The chat body <body> is rejected
    When the chat body '<body>' is parsed
    Then the caller's error starts with "<start>"

    Examples:
      | body                                                                 | start              |
      | x                                                                    | body:              |
      | []                                                                   | body:              |
      | {}                                                                   | model:             |
      | {"model": 3, "messages": [{"role": "user"}]}                         | model:             |
      | {"model": "m", "messages": []}                                       | messages:          |
      | {"model": "m", "messages": [{"content": "a"}]}                       | messages.0.role:   |
      | {"model": "m", "messages": [{"role": "user", "content": 3}]}         | messages.0.content |
      | {"model": "m", "messages": [{"role": "user"}], "stream": "yes"}      | stream:            |
      | {"model": "m", "messages": [{"role": "user"}], "max_tokens": 0}      | max_tokens:        |
      | {"model": "m", "messages": [{"role": "user"}], "max_tokens": 200000} | max_tokens:        |
      | {"model": "m", "messages": [{"role": "user"}], "n": 1000}            | n:                 |

  # MESSAGE stands for a message with 30 bytes of text.
  Scenario Outline: Reserved tokens for the chat body <body>
    When the chat body '<body>' is parsed
    Then <prompt> prompt tokens and <output> output tokens are reserved
    And the body for the target limits the output to <limit> tokens

    Examples:
      | body                                                                       | prompt | output | limit |
      | {"model": "m", "messages": [MESSAGE], "max_tokens": 9}                     | 15     | 9      | 9     |
      | {"model": "m", "messages": [MESSAGE], "max_tokens": 9, "n": 3}             | 15     | 27     | 9     |
      | {"model": "m", "messages": [MESSAGE, MESSAGE]}                             | 29     | 1024   | 1024  |
      | {"model": "m", "messages": [MESSAGE], "max_tokens": null, "x": "aaaaaaaa"} | 20     | 1024   | 1024  |

  Scenario Outline: The header <header> is parsed as <outcome>
    When the request header "<header>" is parsed
    Then the parsed header is "<outcome>"

    Examples:
      | header                                                 | outcome  |
      | X-Request-Deadline-Ms: 1500                            | 1.5      |
      | x-request-deadline-ms: 0                               | error    |
      | X-Request-Deadline-Ms: -5                              | error    |
      | X-Request-Deadline-Ms: 1e3                             | error    |
      | X-Request-Deadline-Ms: 99999999999999999999            | error    |
      | X-Request-Deadline-Ms: 5 \| X-Request-Deadline-Ms: 6   | error    |
      | X-Priority: 9                                          | 9        |
      | X-Priority: 10                                         | error    |
      | Idempotency-Key: order-17                              | order-17 |
      | Idempotency-Key: order-17 \| Idempotency-Key: order-18 | error    |
      | Idempotency-Key: é                                     | error    |
