Feature: Staleness of the configuration
  Guards against a key that works after it was revoked, and against a change
  that takes effect too late because an instance relies on its leader for longer
  than the time limit allows (P6, P13).

  Scenario Outline: A relayed reading expires in time for an own reading
    Given settings in which a change must take effect within <bound> ms
    When the store fails for the leader right after a reading
    Then the instance reads the store itself at least <left> seconds before the bound

    Examples:
      | bound | left |
      | 2000  | 0.3  |
      | 3000  | 0.3  |

  Scenario Outline: A key is accepted after <age> seconds: <answer>
    Given a key that must stop working within 5 seconds
    When the configuration was confirmed as the latest <age> seconds ago
    Then a request with the key is allowed: <answer>

    Examples:
      | age | answer |
      | 0   | yes    |
      | 4.5 | yes    |
      | 4.8 | no     |
      | 900 | no     |

  Scenario: No key is accepted before the first reading
    Given a key that must stop working within 5 seconds
    Then a request with the key is allowed: no

  Scenario: An older proof does not replace a newer one
    Given a key that must stop working within 5 seconds
    When the configuration was confirmed as the latest 1 seconds ago
    And the configuration was confirmed as the latest 30 seconds ago
    Then a request with the key is allowed: yes
