Feature: Instances of two builds in one fleet
  Guards against records, ledgers and messages of one build that another one does not
  understand, while instances are replaced one after the other.

  Scenario Outline: Instances of <first> are joined and followed by those of <second>
    Given a fleet of <first> with 1 instance in each zone
    And a keyed order that an instance of <first> has answered
    When an instance of <second> joins in each zone
    Then all instances answer warm requests, and load models by demand
    And an instance of <second> repeats the recorded answer
    When the instances of <first> are killed
    Then the other instances answer warm requests
    And an instance of <second> repeats the recorded answer

    Examples:
      | first      | second     |
      | 2058ee7    | this build |
      | this build | 2058ee7    |
      | e1b92be    | this build |
      | this build | e1b92be    |
