Feature: Which models and adapters of a played day were never served
  Guards against an analysis that counts failures as service, or that holds a
  figure for possible that no order of loads from the weight store reaches.

  Scenario Outline: A model that <case>
    Given the log of a day with requests for f at 0, 4, 8 and 12 seconds
    And <line>
    When the log is read
    Then the names never served are "<names>"

    Examples:
      | case                      | line                                | names |
      | is never served           | no further line                     | f     |
      | is served                 | an answer with status 200           |       |
      | gets a failure            | an answer with status 503           | f     |
      | only an adapter is served | an answer with status 200 for g/a1  | f     |

  Scenario: A model that is asked for over a short time only
    Given the log of a day with requests for f at 0, 2, 4 and 6 seconds
    When the log is read
    Then the names never served are ""

  Scenario: Loads from the weight store
    Given the log of a day with requests for f at 0, 4, 8 and 12 seconds
    And a load of f from the weight store from 3 to 11 seconds
    And a load of f from a disk at 20 seconds
    When the log is read
    Then the loads from the weight store are "3 to 11.0 f"

  Scenario Outline: A load from the weight store: <use>
    Given the log of a day with requests for f at 0, 4, 8 and 12 seconds
    And <line>
    And a load of f from the weight store from <began> to 30 seconds
    When the log is read
    Then its loads served "1 <use>"

    Examples:
      | use                 | line                      | began |
      | new model           | an answer with status 200 | 3     |
      | model served before | an answer with status 200 | 20    |
      | model never served  | no further line           | 3     |

  Scenario: A second load of a model that is served after it
    Given the log of a day with requests for f at 0, 4, 8 and 12 seconds
    And an answer with status 200
    And a load of f from the weight store from 1 to 2 seconds
    And a load of f from the weight store from 3 to 11 seconds
    When the log is read
    Then its loads served "1 model loaded before, 1 new model"

  Scenario Outline: A model that was <case> needed the weight store: <needed>
    Given the log of a day with requests for f at 0, 4, 8 and 12 seconds
    And <line>
    And a load of f from the weight store from <began> to 30 seconds
    When the log is read
    Then <needed> models needed the weight store

    Examples:
      | case                         | line                      | began | needed |
      | served before its first load | an answer with status 200 | 20    | 0      |
      | served after it              | an answer with status 200 | 3     | 1      |
      | never served                 | no further line           | 20    | 1      |

  Scenario Outline: The best possible figure: <case>
    When the last callers leave at <leave> seconds
    And loads can end at 6 seconds and every 4 seconds after it
    Then at most <most> models can be served

    Examples:
      | case                            | leave          | most |
      | all in time                     | 6, 10, 14      | 3    |
      | in another order                | 14, 6, 10      | 3    |
      | one that leaves before any load | 5, 10, 14      | 2    |
      | more than the store can load    | 10, 10, 10, 14 | 3    |
