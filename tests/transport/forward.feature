Feature: Forwarding of requests to targets
  Runs the request path on loopback ports against targets with scripted faults
  that record every byte they receive. Behaviours are separated by "; " and
  used for one request each; the last one is repeated. An order is a request
  to a service that must not be repeated.

  # P9, P10: guards against an error that says "not run" although the target
  # received the request, and against sending an order twice.
  Scenario Outline: An order whose connection fails: <behaviours>
    Given services with the behaviours: <behaviours>
    When an order is sent
    Then the order ends with <outcome>
    And the error agrees with the requests that the services received
    And the services received the order at most once

    Examples:
      | behaviours                     | outcome                     |
      | answer                         | 200                         |
      | unreachable                    | target_unreachable, not run |
      | reset on accept; answer        | target_failed, may have run |
      | reset after headers; answer    | target_failed, may have run |
      | reset after body; answer       | target_failed, may have run |
      | reset after first byte; answer | target_failed, may have run |
      | truncated body; answer         | target_failed, may have run |
      | without length; answer         | target_failed, may have run |
      | silent; answer                 | target_failed, may have run |
      | refuse; answer                 | target_unreachable, not run |
      | own id                         | 200                         |
      | status 599                     | 599                         |
      | status 600; answer             | target_failed, may have run |
      | status 999; answer             | target_failed, may have run |
      | status 000; answer             | target_failed, may have run |
      | status 099; answer             | target_failed, may have run |
      | status 101; answer             | target_failed, may have run |
      | status 199; answer             | target_failed, may have run |
      | status 20; answer              | target_failed, may have run |
      | status 2000; answer            | target_failed, may have run |
      | status -20; answer             | target_failed, may have run |
      | status 2x0; answer             | target_failed, may have run |

  Scenario: An order goes to another service when one is unreachable
    Given services of which the first is unreachable
    When 6 orders are sent
    Then each order is received and answered once

  # P8: guards against incomplete answers and answers to other requests.
  Scenario Outline: A completion from engines with the behaviours: <behaviours>
    Given engines with the behaviours: <behaviours>
    When a completion is requested
    Then the completion ends with <outcome>

    Examples:
      | behaviours               | outcome                     |
      | answer                   | 200                         |
      | wrong id; answer         | 200                         |
      | without id; answer       | 200                         |
      | truncated body; answer   | 200                         |
      | reset after body; answer | 200                         |
      | refuse; answer           | 200                         |
      | status 600; answer       | 200                         |
      | status 000; answer       | 200                         |
      | wrong id                 | target_failed, may have run |
      | status 600               | target_failed, may have run |
      | truncated body           | target_failed, may have run |

  Scenario: A duplicated answer does not reach the next caller
    Given engines with the behaviours: duplicated
    When 10 completions are requested over pooled connections
    Then each completion is the answer to its own request

  Scenario: A duplicated answer of a plain service does not reach the next caller
    Given services with the behaviours: duplicated
    When 6 callers read from the service
    Then each completion is the answer to its own request

  # In a stream, N is the event with number N, xN an event of another request
  # and END the end marker; RESET, CLOSE and SILENT end it without a marker.
  Scenario Outline: A stream from engines with the behaviours: <behaviours>
    Given engines with the behaviours: <behaviours>
    When a stream is requested
    Then the caller receives "<words>" and the stream ends with <end>

    Examples:
      | behaviours                             | words    | end            |
      | stream 0 1 2 END                       | w0 w1 w2 | the end marker |
      | stream 0 1 1 2 END                     | w0 w1 w2 | the end marker |
      | stream 0 1 RESET; stream 0 1 2 END     | w0 w1 w2 | the end marker |
      | stream 0 1; stream 0 1 2 END           | w0 w1 w2 | the end marker |
      | stream 0 x1 END; stream 0 1 2 END      | w0 w1 w2 | the end marker |
      | stream 0 2 END; stream 0 1 2 END       | w0 w1 w2 | the end marker |
      | reset after first byte; stream 0 1 END | w0 w1    | the end marker |
      | stream x0 x1 END; stream 0 1 END       | w0 w1    | the end marker |
      | status 600; stream 0 1 END             | w0 w1    | the end marker |
      | stream with status 600 x0 END; stream 0 1 END         | w0 w1 | the end marker |
      | stream 0 1 RESET; stream with status 600 0 1 2 END    | w0 w1 | stream_broken  |
      | stream 0 1 RESET; status 600           | w0 w1    | stream_broken  |
      | stream with status 600 0 1 END         |          | target_failed  |
      | stream 0 1 RESET                       | w0 w1    | stream_broken  |
      | stream 0 1 CLOSE                       | w0 w1    | stream_broken  |
      | stream 0 1                             | w0 w1    | stream_broken  |
      | stream 0 1 x2 END                      | w0 w1    | stream_broken  |

  # P6: guards against a stream that continues after its key was withdrawn.
  Scenario Outline: A withdrawn key ends a stream from engines with the behaviours: <behaviours>
    Given engines with the behaviours: <behaviours>
    When a stream is requested and the key is withdrawn after a second
    Then the caller receives "<words>" and the stream ends with key_withdrawn

    Examples:
      | behaviours        | words |
      | stream 0 1 SILENT | w0 w1 |
      | silent            |       |

  # P14: guards against a request that waits on an open connection to a target
  # that does not answer.
  Scenario Outline: A silent connection is replaced: <behaviours>
    Given engines with the behaviours: <behaviours>
    When a stream is requested with a deadline of 2 seconds
    Then the caller receives "<words>" and the stream ends with <end>
    And the stream ended before its deadline

    Examples:
      | behaviours             | words | end            |
      | silent; stream 0 1 END | w0 w1 | the end marker |
      | silent                 |       | target_failed  |

  Scenario: A silent pooled connection is replaced
    Given one engine with the behaviours: stream 0 END; silent; stream 0 1 END
    When two streams are requested one after the other
    Then the caller receives "w0 w1" and the stream ends with the end marker

  Scenario: A request that crashes plain services is refused after the second
    Given services with the behaviours: crash
    When 2 callers read from the service
    Then both reads are refused as poison_request
    And each service received the request once

  # P5: guards against a key that is sent to a target. KEY stands for the key and
  # ENC for its percent-encoded form.
  Scenario Outline: No target receives the key in <headers>
    Given services with the behaviours: answer
    When a request with the headers "<headers>" is sent to "<path>"
    Then the services received a request without the key

    Examples:
      | path                                 | headers                                                   |
      | /services/orders/x                   | Authorization: Bearer KEY                                 |
      | /services/orders/x                   | aUTHORIZATION: bEARER KEY                                 |
      | /services/orders/x                   | X-API-KEY: KEY \| x-api-key: KEY \| Api-Key: KEY          |
      | /services/orders/x                   | X-Api-Key: KEY \| Cookie: key=KEY; sid=KEY; a=1           |
      | /services/orders/x                   | X-Api-Key: KEY \| Referer: http://h/?t=ENC \| X-Copy: KEY |
      | /services/orders/x                   | X-Api-Key: KEY \| Proxy-Authorization: Bearer KEY         |
      | /services/orders/x                   | X-Api-Key: KEY \| Connection: X-Copy \| X-Copy: KEY       |
      | /services/orders/x?api_key=KEY&a=1   | Accept: a                                                 |
      | /services/orders/x?q=ENC;key=KEY&a=1 | X-Api-Key: KEY                                            |
      | /services/open/x?access_token=KEY    | Authorization: Bearer KEY                                 |

  Scenario Outline: A key that cannot be removed is refused in <path>
    Given services with the behaviours: answer
    When the body "<body>" is sent to "<path>"
    Then it is refused as bad_request and the services received nothing

    Examples:
      | path                 | body         |
      | /services/orders/KEY | {}           |
      | /services/orders/ENC | {}           |
      | /services/orders/x   | {"k": "KEY"} |

  # P4: guards against cookies of one caller that are sent for another.
  Scenario: A cookie set for one caller is not sent with another's request
    Given engines with the behaviours: set cookie
    When 4 callers request a completion
    Then each completion is the answer to its own request
    And the targets received no cookie

  # P10: guards against a keyed order that runs twice.
  Scenario Outline: A repeated keyed order: <case>
    Given services with the behaviours: <behaviours>
    And a store with the faults: <faults>
    When a keyed order is sent and repeated
    Then the two answers are "<answers>"
    And the services received the order at most once

    Examples:
      | case                                     | behaviours               | faults   | answers                              |
      | nothing fails                            | answer                   | ok       | 200; 200 replayed                    |
      | the response to the create is lost       | answer                   | after    | 200; 200 replayed                    |
      | the create is lost                       | answer                   | before   | 200; 200 replayed                    |
      | the response to the record is lost       | answer                   | ok after | 200; 200 replayed                    |
      | the store is unavailable                 | answer                   | down     | store_unavailable; store_unavailable |
      | the target resets the connection         | reset after body; answer | ok       | target_failed; duplicate_in_progress |
      | the target refuses, then accepts it      | refuse; answer           | ok       | target_unreachable; 200              |
      | the caller disconnects before the answer | slow; answer             | ok       | disconnected; 200 replayed           |
      | the answer has the status 600            | status 600; answer       | ok       | target_failed; duplicate_in_progress |

  # An earlier build has recorded such an answer.
  Scenario Outline: An answer that is recorded with the status <status> is not replayed
    Given services with the behaviours: answer
    When a keyed order is sent, and repeated after its record got the status <status>
    Then the two answers are "<answers>"
    And the services received the order at most once

    Examples:
      | status | answers            |
      | 0      | 200; target_failed |
      | 99     | 200; target_failed |
      | 101    | 200; target_failed |
      | 600    | 200; target_failed |
      | 999    | 200; target_failed |
      | -200   | 200; target_failed |
      | 200    | 200; 200 replayed  |
      | 599    | 200; 599 replayed  |
