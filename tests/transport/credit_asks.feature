Feature: Credit that requests wait for
  Guards against refusals of requests within the rate of their organisation
  while the leader that grants credit is late or has just changed (P7), and
  against requests that wait for a leader that has gone.

  Scenario Outline: A leader whose last view is <age> s old answers after <seconds> s
    Given an instance without credit whose leader was heard <age> seconds ago
    When a request needs credit and the leader answers after <seconds> seconds
    Then the request is <result> within <most> seconds

    Examples:
      | age | seconds | result   | most |
      | 0.1 | 0.01    | admitted | 0.3  |
      | 0.1 | 0.5     | admitted | 0.8  |
      | 2   | 0.1     | admitted | 0.3  |
      | 2   | 9       | refused  | 0.4  |
      | 0.1 | 9       | refused  | 1.4  |

  Scenario: The leader changes while a request waits
    Given an instance without credit whose leader was heard 0.1 seconds ago
    When a request needs credit and another leader takes over after 0.1 seconds
    Then the request is admitted within 0.6 seconds
    And both leaders have been asked once

  Scenario: An answer that comes after the request has given up is credit
    Given an instance without credit whose leader was heard 2 seconds ago
    When a request needs credit and the leader answers after 9 seconds
    And the answers to it and to another one arrive later
    Then the next request is admitted without an ask
