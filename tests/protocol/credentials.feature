Feature: Removal of the caller's key
  Guards against a caller's key that reaches a target (P5), and against a
  request that runs for the organisation of another key than the intended one
  (P4).

  # KEY stands for the caller's key, ENC for the percent-encoded key, BASIC for
  # Basic credentials with the key. Headers are separated by " | ".
  Scenario Outline: The key is removed from <place>
    When a request with the headers "<headers>" and the query "<query>" is sanitised
    Then the key is extracted and a target receives "<kept>"

    Examples:
      | place                  | headers                                           | query                  | kept                  |
      | Authorization          | Authorization: Bearer KEY \| Accept: a            | x=1                    | Accept: a ?x=1        |
      | mixed case             | aUTHORIZATION: bEARER KEY \| X-API-key: KEY       | x=1                    | ?x=1                  |
      | a key without a scheme | Authorization: KEY                                | x=1                    | ?x=1                  |
      | Basic credentials      | Authorization: Basic BASIC                        | x=1                    | ?x=1                  |
      | repeated headers       | X-Api-Key: KEY \| X-Api-Key: KEY \| Api-Key: KEY  | x=1                    | ?x=1                  |
      | joined headers         | X-Api-Key: KEY, KEY                               | x=1                    | ?x=1                  |
      | Proxy-Authorization    | Proxy-Authorization: Bearer KEY                   | x=1                    | ?x=1                  |
      | another header         | X-Api-Key: KEY \| X-Trace: KEY \| X-More: v=KEY;  | x=1                    | ?x=1                  |
      | the referrer           | X-Api-Key: KEY \| Referer: http://h/?q=ENC        | x=1                    | ?x=1                  |
      | cookies                | Cookie: a=1; api_key=KEY; b=KEY; c=%22ENC%22; d=2 | x=1                    | Cookie: a=1; d=2 ?x=1 |
      | a cookie alone         | Cookie: access_token=KEY                          | x=1                    | ?x=1                  |
      | the query              | Accept: a                                         | x=1&api_key=KEY&y=2    | Accept: a ?x=1&y=2    |
      | an encoded query       | Accept: a                                         | x=1&%6bey=ENC          | Accept: a ?x=1        |
      | a semicolon query      | X-Api-Key: KEY                                    | x=1;access_token=KEY;y | ?x=1;y                |
      | another parameter      | X-Api-Key: KEY                                    | q=ENC&x=1&u=a%253DKEY  | ?x=1                  |
      | a parameter's name     | X-Api-Key: KEY                                    | KEY=1&x=1              | ?x=1                  |

  Scenario Outline: Hop-by-hop headers are removed: <headers>
    When a request with the headers "<headers>" and the query "x=1" is sanitised
    Then no key is extracted and a target receives "<kept>"

    Examples:
      | headers                                               | kept           |
      | Connection: X-Hop, close \| X-Hop: 1 \| Accept: a     | Accept: a ?x=1 |
      | Transfer-Encoding: chunked \| TE: trailers \| Host: h | ?x=1           |
      | Authorization: Bearer \| Content-Length: 3            | ?x=1           |

  Scenario Outline: Two different keys are rejected: <headers> <query>
    When a request with the headers "<headers>" and the query "<query>" is sanitised
    Then sanitising fails with "bad_request" and the error does not contain the key

    Examples:
      | headers                                    | query           |
      | Authorization: Bearer KEY \| X-Api-Key: k2 | x=1             |
      | X-Api-Key: KEY \| X-Api-Key: k2            | x=1             |
      | X-Api-Key: KEY, k2                         | x=1             |
      | X-Api-Key: KEY                             | key=k2          |
      | Cookie: key=KEY                            | access_token=k2 |

  Scenario Outline: A body or path with the key is rejected: <body>
    Then the body '<body>' is <outcome>

    Examples:
      | body                              | outcome  |
      | {"user": "KEY"}                   | rejected |
      | {"user": "\u0073k-acme-01234567"} | rejected |
      | /services/orders/KEY              | rejected |
      | {"user": "someone"}               | accepted |
