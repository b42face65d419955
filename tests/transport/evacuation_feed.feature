Feature: Evacuated availability zones
  Guards against requests that reach the targets of an evacuated zone, and against
  targets that stay unused after the evacuation has been withdrawn.

  Background:
    Given targets t1 and t2 in zone-a and t3 in zone-b

  Scenario Outline: An evacuation that is read from the store: <case>
    Given the evacuations are listed as none as of revision 5
    When <events>
    Then the targets that get requests are <targets>

    Examples:
      | case                     | events                                              | targets       |
      | begins                   | zone-a is evacuated as of revision 6                | t3            |
      | is taken back            | zone-a is evacuated, and taken back as of revision 8 | t1, t2 and t3 |
      | of a zone without target | zone-x is evacuated as of revision 6                | t1, t2 and t3 |
      | older than the list      | zone-a is evacuated as of revision 4                | t1, t2 and t3 |
      | in another history       | zone-a is evacuated as of revision 6 of era 1       | t1, t2 and t3 |

  Scenario Outline: A leader relays evacuations to a member of level <level>
    Given the evacuations are listed as zone-a as of revision 5
    When a leader with these evacuations sends its view to a member of level <level>
    Then the targets of the member that get requests are <targets>

    Examples:
      | level | targets       |
      | 6     | t3            |
      | 5     | t1, t2 and t3 |

  Scenario: An older view does not end an evacuation
    Given the evacuations are listed as none as of revision 5
    When a leader with these evacuations sends its view to a member of level 6, which has read zone-a as of revision 7
    Then the targets of the member that get requests are t3

  Scenario: Targets of a zone that is taken back count as cold
    Given the evacuations are listed as zone-a as of revision 5
    When zone-a is taken back as of revision 6
    Then t1 and t2 were reported as taken back

  Scenario: A draining target of an evacuated zone gets no requests either
    Given the evacuations are listed as zone-a as of revision 5
    When t1 begins to drain
    Then no draining target may be used
