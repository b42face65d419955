Feature: Waiting for a target
  Guards against a request that waits for seconds on an instance where no model
  will be loaded for it, while another instance could serve it.

  Scenario Outline: A request that waits on an instance which <state>
    Given the last word of the leader is <leader> seconds old
    And the last reading of the store is <store> seconds old
    When a request waits there for a model
    Then it is refused within 0.3 seconds: <refused>

    Examples:
      | state                     | leader | store | refused |
      | is cut off                | 2.5    | 2.5   | yes     |
      | has lost its leader       | 2.5    | 0.5   | no      |
      | hears its leader          | 0.1    | 2.5   | no      |
