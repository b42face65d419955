Feature: Orders to engines
  Guards against an engine that is blocked for some tenths of a second because
  the leader counts its orders differently from the engine.

  Scenario: An adapter makes way for another one with two orders
    Given an engine that holds model m0 with adapter a1
    When the desk has it drop adapter a1 and load adapter a2 of m0
    Then it holds adapter a2 of m0
    And it was sent 2 orders

  Scenario: An engine that still loads for an earlier leader is offered
    Given an engine that holds model m0 with adapter a1
    And it is busy for 0.6 seconds with an order of an earlier leader
    When the desk asks what it holds
    Then it is offered with model m0 within 0.3 seconds
    And it gets no order before it is idle

  Scenario: An engine that does not answer counts as gone until it does
    Given an engine that holds model m0 with adapter a1
    And it answers nothing for 0.4 seconds
    When the desk checks whether it answers
    Then it is offered: no, yes
