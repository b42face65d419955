Feature: Targets that can run a request, as one instance knows them
  Guards against requests that are refused although an engine that is about to leave
  has just loaded their model, and against new work for targets that leave (P11).

  Scenario Outline: An engine that drains holds a model: <case>
    Given engine e1 that holds m0, <seen>
    And <fact>
    When e1 has been seen draining for <seconds> seconds
    Then requests for m0 may go to <targets> at first, and <leaving> after a while

    Examples:
      | case                            | seen            | fact                        | seconds | targets | leaving |
      | it has just announced it        | seen ready      | e1 is the only engine       | 0.5     | nobody  | e1      |
      | it announced it a while ago     | seen ready      | e1 is the only engine       | 0.9     | nobody  | nobody  |
      | another engine holds the model  | seen ready      | engine e2 that holds m0     | 0.5     | e2      | e1      |
      | nobody knows since when         | seen draining   | e1 is the only engine       | 0       | nobody  | nobody  |
      | it says that it ends at once    | seen ready      | e1 says that it ends        | 0.5     | nobody  | nobody  |
      | it has refused the model        | seen ready      | e1 says that it lacks m0    | 0.5     | nobody  | nobody  |

  Scenario: An engine that drains, restarts under its id and drains again
    Given engine e1 that holds m0, seen ready
    When e1 has been seen draining for 2 seconds
    And e1 is ready again
    And e1 has been seen draining for 0.5 seconds
    Then requests for m0 may go to nobody at first, and e1 after a while
