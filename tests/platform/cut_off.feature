Feature: Instances that reach no target
  Guards against instances that reject their callers' requests, and a leader that
  goes on leading, while only their own connections to the targets are cut.

  Background:
    Given two gateways on the platform

  Scenario Outline: A cut-off <role> serves as often as the others; old connections <old>
    When callers use both gateways, and the connections of <gateway> to targets <old>
    Then from 3 seconds after the cut both gateways serve nine in ten
    And no order ran twice

    Examples:
      | role   | gateway | old     |
      | leader | g1      | hang    |
      | leader | g1      | reset   |
      | leader | g1      | live on |
      | member | g2      | hang    |
      | member | g2      | reset   |
      | member | g2      | live on |

  Scenario: An instance that stops answers the requests that others have passed on
    Given the events of streams take 1 second each
    When g1 is cut off and passes a stream on, and g2 is told to stop
    Then the stream ends as a whole

  Scenario Outline: A passed order that outlasts the stop of <who> gets an answer
    When g1 is cut off and passes an order on that a service runs and does not answer, and <who> is told to stop
    Then the order ends as one that may have run, before <who> has gone
    And no order ran twice

    Examples:
      | who |
      | g1  |
      | g2  |
