Feature: What a region knows after a loss of all instances
  Guards against a new leader that begins more loads than the weight store serves
  at full speed, or loads a model a second time, as nobody is left who tells it
  what the last leader knew.

  Scenario Outline: The limit of concurrent loads after a loss of all instances: <limit>
    Given a leader that has learned to run <limit> loads from the weight store at once
    When all instances are lost, and one starts again and leads
    Then it runs <limit> loads from the weight store at once
    And it has <origin> this limit

    Examples:
      | limit | origin        |
      | 2     | inherited     |
      | 4     | not inherited |

  Scenario Outline: A lease whose limits cannot be read: <limits>
    Given a leader that has learned to run 2 loads from the weight store at once
    And the lease has the store limits <limits>
    When all are lost after that, and one starts again and leads
    Then it runs 4 loads from the weight store at once

    Examples:
      | limits          |
      | null            |
      | [2]             |
      | {"llm": "many"} |
      | {"llm": 0}      |

  Scenario: A load that goes on is known after a loss of all instances
    Given two instances, of which g1 leads
    When all instances are lost while the leader has m4 loaded
    Then the next leader knows that m4 is being loaded
    And the lease names that load before and after

  Scenario Outline: A lease with <count> loads
    Given a lease with <count> loads under way
    Then it names the limit and <named> loads

    Examples:
      | count | named |
      | 40    | 40    |
      | 400   | 0     |

  Scenario: An instance goes by the views of a leader
    Given an instance that has had a view with a limit of 2
    When it reads a lease with a limit of 1
    Then it knows a limit of 2
