Feature: Models that make room for another one
  Guards against a model that is never loaded because no single loaded model is
  as large: of models of 16 to 34 GB, one that got five requests a second was not
  loaded for 20 seconds although its only copy lay on the disk of an engine.

  Scenario Outline: A model of <size> GB on an engine of 83 GB that holds <held>
    Given an engine of 83 GB that holds <held>
    When a model of <size> GB is to be loaded
    Then the victims are "<victims>"

    Examples:
      | size | held                                       | victims |
      | 30   | a of 34 at 1, b of 34 at 2                 | a       |
      | 34   | a of 16 at 1, b of 16 at 2, c of 50 at 9   | c       |
      | 34   | a of 18 at 1, b of 17 at 2, c of 48 at 9   | a, b    |
      | 34   | a of 17 at 1, b of 18 at 2, c of 48 at inf | a, b    |
      | 34   | a of 10 at 1, b of 34 at 2, c of 38 at inf | b       |
      | 34   | a of 17 at 1, b of 18 at inf, c of 48 at inf |       |
      | 16   | a of 16 at 5, b of 16 at 1, c of 51 at 9   | b       |

  Scenario: The scheduler evicts two small models for a large one
    Given an engine with 83 GB that holds models of 18, 17 and 48 GB, the last of them in use
    And a model of 34 GB lies on its disk
    When a request waits for that model
    Then it is loaded within 1 second
    And the engine never holds more than 83 GB
