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

  Scenario Outline: A reading after the store came back from a copy is <answer>, <seconds> s later
    Given a store in era 3 with generation 7, which is in force
    When it comes back in era 4 with generation <read>
    Then a reading <seconds> seconds later proves the latest configuration: <answer>

    Examples:
      | read | seconds | answer |
      | 7    | 0.5     | no     |
      | 7    | 1.9     | no     |
      | 7    | 2       | yes    |
      | 5    | 2       | no     |
      | 5    | 900     | no     |
      | 0    | 900     | no     |
      | 9    | 2       | yes    |

  Scenario: The operator writes the lost configuration again
    Given a store in era 3 with generation 7, which is in force
    When it comes back in era 4 with generation 5
    And generation 7 is read 3 seconds later
    Then a reading 3 seconds later proves the latest configuration: yes

  Scenario: A store that has not come back proves it at once
    Given a store in era 3 with generation 7, which is in force
    Then a reading 0 seconds later proves the latest configuration: yes

  Scenario: An older configuration of a stale writer does not end the proofs
    Given a store in era 3 with generation 7, which is in force
    When generation 5 is read 3 seconds later
    Then a reading 3 seconds later proves the latest configuration: yes

  Scenario Outline: A relayed reading of a leader with generation <generation> is a proof: <answer>
    Given a store in era 3 with generation 7, which is in force
    When a leader with generation <generation> relays a reading
    Then the relayed reading proves the latest configuration: <answer>

    Examples:
      | generation | answer |
      | 7          | yes    |
      | 5          | no     |
      | 8          | no     |
