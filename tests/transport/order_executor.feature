Feature: Orders to engines
  Guards against an engine that is blocked for some tenths of a second because
  the leader and the engine count its orders differently.

  Scenario: An adapter is replaced with two orders
    Given an engine that holds model m0 with adapter a1
    When the executor unloads adapter a1 and loads adapter a2 of m0
    Then it holds adapter a2 of m0
    And it was sent 2 orders

  Scenario: An engine that executes an order of an earlier leader is usable
    Given an engine that holds model m0 with adapter a1
    And it is busy for 0.6 seconds with an order of an earlier leader
    When the executor surveys it
    Then it is usable with model m0 within 0.3 seconds
    And it gets no order before it is idle

  Scenario: An engine that does not answer is unusable until it does
    Given an engine that holds model m0 with adapter a1
    And it does not answer for 0.4 seconds
    When the executor checks whether it answers
    Then it is usable: no, yes

  # The orders of the successor were taken for loads of an earlier leader, so that
  # the weight store was left idle.
  Scenario Outline: An engine whose address another process has: <case>
    Given a process that <holds> at the address of e1
    When the executor <action> e1 for 0.5 seconds
    Then e1 is not usable and carries out no order

    Examples:
      | case                      | holds                      | action           |
      | an order to the gone one  | loads a model as engine e2 | loads model m0 on |
      | its report                | loads a model as engine e2 | surveys          |
      | it has started again      | loads a model as engine e1 | surveys          |

  Scenario: An engine that reads nothing for 3 seconds gets few copies of an order
    Given an engine that reads nothing for 3 seconds
    When the executor loads model m0 on it
    Then the engine has read at most 1 order sent before it went on and 1 after

  Scenario: An order that was given up is not sent on
    Given an engine that reads nothing for 0.6 seconds
    When an order of 60000 bytes is sent to it, which has room for 4096
    Then the engine has read no order

  Scenario Outline: An order to an engine that <fault>
    When an engine that <fault> gets an order
    Then the order may have been accepted
    And the next leader may order at once: <settled>

    Examples:
      | fault                 | settled |
      | resets its connection | yes     |
      | closes its connection | no      |
      | answers 503           | yes     |
      | does not answer       | no      |
