Feature: What the leader of a region knows of engines
  Guards against memory that is promised twice (P2): an engine writes its entry
  also while a load is under way, with the models that it held before.

  Scenario: An entry that was written during a load does not undo the load
    Given an engine that held a and has loaded b
    When its entry comes, written during that load
    Then the leader still counts a and b

  Scenario: Another start of an engine is another engine
    Given an engine that held a and has loaded b
    When its entry comes, written by another start
    Then the leader counts nothing and surveys it

  Scenario: An instance that fell silent wants nothing any more
    Given an instance that waits for a
    When it has been silent for 3 seconds
    Then nothing waits
    And limits are still divided with it

  Scenario: An older report of the same process changes nothing
    Given an instance that waits for a
    When an older report of it comes without a wait
    Then a is still waited for

  Scenario Outline: Who has had no answer of an engine: <who>
    Given an engine that held a and has loaded b
    And <who> had no answer of it for 0.8 seconds
    Then the leader asks it: <asks>

    Examples:
      | who                | asks |
      | one instance alone | yes  |
      | one of two that use it | no |
      | nobody             | no   |
