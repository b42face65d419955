Feature: Division of the organisations' limits by demand
  Guards against parts of instances that, together with the grants of the leader
  and what was used just before, exceed the limit of an organisation (P7).

  Background:
    Given an organisation whose limit admits 720000 tokens in a window of 8 seconds
    And a leader of 100 instances that divides it

  Scenario: Parts follow the demand
    When 20 instances report a demand of 2000 tokens a second each
    Then each of them is told a part of 2000 to 3000 tokens a second
    And the other instances are told nothing

  Scenario: No part is larger than a new leader allows for
    When 2 of the instances report a demand of 20000 tokens a second each
    Then no part is larger than 1 in 16 of what is divided

  Scenario: A limit that is too small for parts of all instances is not divided
    Given an organisation whose limit admits 18000 tokens in a window of 8 seconds
    When 20 instances report a demand of 60 tokens a second each
    Then no part is told
    And the leader may grant 17000 tokens in a window or more

  Scenario: A limit whose parts would cover little of the demand is not divided
    Given an organisation whose limit admits 450000 tokens in a window of 8 seconds
    When 20 instances report a demand of 4000 tokens a second each
    Then no part is told

  Scenario: Grants of the last window are left out
    Given the leader has granted 640000 tokens in the last window
    When 20 instances report a demand of 2000 tokens a second each
    Then parts and grants together admit at most 720000 tokens in a window

  Scenario: A part that moves counts for one window more
    When 20 instances report a demand of 4000 tokens a second each
    And they report their parts, and a second later no demand
    And 20 other instances report a demand of 4000 tokens a second each
    Then what they were told and may have used just before fits into the limit
    When 9 seconds have passed
    Then each of the other instances is told a part of 2000 to 6000 tokens a second

  Scenario: What a restarted instance has used counts for one window more
    When 20 instances report a demand of 4000 tokens a second each
    And they report their parts, and restart
    Then the parts of their last processes still count
    When 9 seconds have passed
    Then they do not count any more

  Scenario: A new leader counts parts that it does not know
    Given the leader has just begun its term and has heard of no instance
    Then the whole divided part of the limit counts as used
    When 20 instances report a demand of 4000 tokens a second each
    Then no part is told

  Scenario: A silent instance keeps its part
    When 20 instances report a demand of 4000 tokens a second each
    And they report their parts, and are silent for 40 seconds
    Then the parts of their last processes still count
