Feature: Replay of the load that the rotation answers
  Guards against a change of the rotation that serves fewer requests in time
  when a burst of rare models and a shift of the busy ones come together.

  Scenario Outline: Loads ahead of the first request pay: <load>
    Given the load "<load>" replayed with 3 seeds
    When it is replayed without time before the first request
    Then more of the worth was earned with that time

    Examples:
      | load                  |
      | 6 engines of 3 places |

  Scenario Outline: No kind of request is starved: <load>
    Given the load "<load>" replayed with 3 seeds
    Then every kind is served at least a quarter as often as all

    Examples:
      | load                  |
      | 6 engines of 3 places |
      | 9 engines of 2 places |

  Scenario: No engine is ordered above its memory
    Given the load "6 engines of 3 places" replayed with 3 seeds
    Then no engine held more than 3 models
