Feature: Requests that have waited for a load are spread
  Guards against streams that pause because all instances send the requests that
  have waited for a model to its engine in the same moment.

  Scenario Outline: A request is sent within <spread> s: <case>
    When a request whose target is due in <target> s and whose caller gives up in <left> s has waited for a load
    Then it is sent within <spread> s

    Examples:
      | case                    | target | left | spread |
      | it is late already      | -0.2   | 5    | 0.25   |
      | it has time             | 1.5    | 5    | 0.25   |
      | it can just be in time  | 0.2    | 5    | 0      |
      | its caller soon gives up | -0.2  | 0.5  | 0      |

  Scenario: The requests of many instances leave an engine time for tokens
    When 24 requests that have waited for a model for 1 s are sent as it is loaded
    Then the engine gets at most 8 of them within any 50 ms
