Feature: Gateways of two builds side by side
  Guards against messages, views and records of one build that another one does not
  understand, while instances are replaced one after the other.

  Scenario Outline: A gateway of <commit> is the <role> of one of this build
    Given a gateway of <commit> as the <role>, and one of this build
    When callers use both for lookups, orders, streams and models that must be loaded
    Then every first try is served
    And no order ran twice
    And no gateway has logged a message or a field that it does not understand

    Examples:
      | commit  | role   |
      | 2058ee7 | leader |
      | 2058ee7 | member |
      | e0b4aa0 | leader |
      | e0b4aa0 | member |
      | e1b92be | leader |
      | e1b92be | member |

  Scenario: Gateways are replaced by this build and back, one after the other
    Given three gateways of 2058ee7
    When each is replaced by this build, then by 2058ee7 again, while callers use them
    Then nine in ten first tries are served
    And no order ran twice
    And no gateway has logged a message or a field that it does not understand

  Scenario: The leader of this build goes, and one of an earlier build takes over
    Given a gateway of 2058ee7 as the member, and one of this build
    When the gateway of this build is killed
    Then the other leads, and callers are served there

  Scenario: A model that lies on no engine is refused at once only by this build
    Given a gateway of 2058ee7 as the member, and one of this build
    And a model that lies on no engine and that the weight store loads in 30 seconds
    When a caller asks both for it for 2.5 seconds
    Then this build rejects it within 1 second and says when to come back
    And 2058ee7 answers that it has not run
