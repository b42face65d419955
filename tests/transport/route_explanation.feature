Feature: Explanation of where a request would be sent
  Guards against explanations that differ from what routing does, that change
  its state, or that show a key (P6).

  Scenario Outline: The reason why a target gets nothing: <condition>
    Given a service whose target t1 <condition> and whose target t2 is usable
    When it is explained where a request would be sent
    Then t2 is the choice
    And t1 is not eligible because of <reason>

    Examples:
      | condition             | reason       |
      | is in an evacuated zone | evacuated  |
      | is draining           | draining     |
      | has said that it leaves | leaving    |
      | is cold               | cold limit   |
      | is at its stated limit | stated limit |
      | wants a pause         | pause        |
      | lacks the model       | lacks model  |
      | is not reached        | unreachable  |

  Scenario: The choice is that of routing
    Given a service with 5 targets of different load
    When it is explained 20 times where a request would be sent
    Then it is always the target that routing chooses

  Scenario: No state changes
    Given a service whose target t1 is at its stated limit and whose target t2 is usable
    When it is explained 20 times where a request would be sent
    Then limits, waiting requests, demand and credit are as before

  Scenario Outline: A request that gets no target: <condition>
    Given a service whose only target <condition>
    When it is explained where a request would be sent
    Then the answer is <answer>

    Examples:
      | condition               | answer                          |
      | is draining             | rejection no_target after 1 s   |
      | wants a pause of 60 s   | rejection queue_full after 60 s |
      | lacks the model         | waiting                         |

  Scenario Outline: Errors of the command: <problem>
    Given an instance that can be asked
    When the command is run with <problem>
    Then it ends with exit code 2 and names <text>

    Examples:
      | problem             | text          |
      | an unknown key      | key_unknown   |
      | an unknown route    | unknown_route |
      | an unknown model    | m999          |
      | an unknown instance | --instance    |
      | a malformed deadline | --deadline   |
      | a missing key file  | --key-file    |

  Scenario: The command shows no key
    Given an instance that can be asked
    When the command is run with a known key
    Then it prints the route and the organisation, not the key
