Feature: Evacuated zones on the platform
  Guards against instances that send to the targets of an evacuated zone, and that
  do not use them again once it is taken back.

  Scenario: A zone is evacuated and taken back
    Given two gateways that keep from evacuated zones, with s1 in zone-b
    When zone-a is evacuated
    Then within 5 s lookups at both gateways reach s1 only
    And requests for a model of zone-a are rejected as not run
    When the evacuation of zone-a is withdrawn
    Then within 5 s lookups at both gateways reach s2 as well
    And requests for a model of zone-a are answered
