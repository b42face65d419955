Feature: Request path with separate processes
  Guards against parts that pass their own tests but fail in the real program.

  Background:
    Given a running fleet of two zones with one instance each

  Scenario: A cold model is loaded once in each zone and served by both instances
    When 6 requests for the cold model "fault-answers" arrive at every instance at once
    Then every request is answered with status 200
    And each engine was given at most one load order for "fault-answers"
    And every instance logged each routing decision

  Scenario: A streamed answer ends with an end marker
    When a streamed request for "fault-answers" is sent to "b1"
    Then the stream has 8 tokens in order and an end marker

  Scenario: An order is executed once
    When an order with one idempotency key is sent to every instance twice
    Then every request is answered with status 200
    And the service received the order once

  Scenario Outline: An invalid request is answered with a specific error
    When <request> is sent to "a1"
    Then the answer is <status> <kind>, not run, with a message that contains <text>

    Examples:
      | request                          | status | kind               | text         |
      | a request without a key          | 401    | key_missing        | Authorization |
      | a request with a wrong key       | 401    | key_unknown        | key          |
      | a request for an unknown model   | 404    | unknown_deployment | nothing-here |
      | a model of another organisation  | 403    | not_allowed        | maintenance  |
      | a body that is not JSON          | 400    | bad_request        | body         |
      | a body without messages          | 400    | bad_request        | messages     |
      | a body of two megabytes          | 413    | body_too_large     | 1000000      |
      | a request above the burst        | 429    | exceeds_burst      | 20000        |
      | an invalid deadline header       | 400    | bad_request        | Deadline     |
      | an unknown service               | 404    | unknown_route      | nothing-here |
      | an unknown path                  | 404    | unknown_route      | /nothing     |
      | a method that is not allowed     | 400    | bad_request        | POST         |

  Scenario: Oversized headers are refused and the instance keeps serving
    When headers of five megabytes are sent to "a1"
    Then the headers are refused with status 431
    And "a1" answers the next request

  Scenario: A change of the questionnaire takes effect without a restart
    When an operator adds the deployment "new-model" while requests are sent
    Then every instance serves "new-model" within 18 seconds
    And no request failed meanwhile
