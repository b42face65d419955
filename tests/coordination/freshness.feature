Feature: Age of the configuration
  Guards against a key that works after it was withdrawn, and against a change
  that comes into force too late because an instance believes its leader for
  longer than the bound allows (P6, P13).

  Scenario Outline: A relayed reading leaves time to read the store oneself
    Given settings in which a change must be in force within <bound> ms
    When the leader was turned away by the store right after a reading
    Then the instance reads the store itself at least <left> seconds before the bound

    Examples:
      | bound | left |
      | 2000  | 0.3  |
      | 3000  | 0.3  |

  Scenario Outline: A key is believed for <age> seconds: <answer>
    Given a key that must stop working within 5 seconds
    When the configuration was known to be the latest <age> seconds ago
    Then a request with the key may run: <answer>

    Examples:
      | age | answer |
      | 0   | yes    |
      | 4.5 | yes    |
      | 4.8 | no     |
      | 900 | no     |

  Scenario: Nothing is believed before the first reading
    Given a key that must stop working within 5 seconds
    Then a request with the key may run: no

  Scenario: An older proof does not replace a newer one
    Given a key that must stop working within 5 seconds
    When the configuration was known to be the latest 1 seconds ago
    And the configuration was known to be the latest 30 seconds ago
    Then a request with the key may run: yes
