Feature: Waiting for a target
  Guards against a request that waits for seconds on an isolated instance, where
  no model will be loaded for it, while another instance could serve it.

  Scenario Outline: A request that waits on an instance that <state>
    Given the last view of the leader is <leader> seconds old
    And the last read of the store is <store> seconds old
    When a request waits there for a model
    Then it is rejected within 0.3 seconds: <rejected>

    Examples:
      | state                     | leader | store | rejected |
      | is isolated               | 2.5    | 2.5   | yes      |
      | has lost its leader       | 2.5    | 0.5   | no       |
      | receives views            | 0.1    | 2.5   | no       |
