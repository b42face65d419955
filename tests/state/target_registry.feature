Feature: Registry of targets
  Guards against a list of targets that stays at an older state because the
  store came back from an older copy, in which revisions went back (P11).

  Scenario: A list of another history replaces a list with a higher revision
    Given targets a and b as of revision 145 of era 1
    When targets b and c are listed as of revision 30 of era 2
    Then the targets are b and c

  Scenario: Changes in another history are ignored until there is a list
    Given targets a and b as of revision 145 of era 1
    When target c changes as of revision 150 of era 2
    Then the targets are a and b

  Scenario Outline: A list of <era> and revision <revision> is ignored
    Given targets a and b as of revision 30 of era 2
    When targets c and d are listed as of revision <revision> of era <era>
    Then the targets are a and b

    Examples:
      | era | revision |
      | 1   | 145      |
      | 2   | 29       |

  Scenario Outline: A leader's view after the store came back: <member>
    Given a leader that knew targets a and b as of revision 145 of era 1
    And a member that knew targets <known> as of revision <revision> of era <era>
    When the leader lists targets b and c as of revision 30 of era 2
    Then the member has the targets b and c after the leader's view

    Examples:
      | member                   | known     | revision | era |
      | as old as the leader     | a and b   | 145      | 1   |
      | newer in the old history | a, b and d | 150     | 1   |
      | without any list         | none      | -1       | 0   |
      | as new as the leader     | b and c   | 30       | 2   |

  Scenario Outline: A target that left is not offered again by a copy that lists it: <left>
    Given targets a and b as of revision 145 of era 1
    When target a <left> as of revision 146 of era 1
    And targets a and b are listed as of revision 30 of era 2
    Then the targets that get requests are b
    When targets a and b are listed as of revision 31 of era 2
    Then the targets that get requests are b

    Examples:
      | left       |
      | drains     |
      | is removed |

  Scenario Outline: A target that says that it leaves gets no requests: <then>
    Given targets a and b as of revision 145 of era 1
    When target a says in an answer that it is about to end
    And <event>
    Then the targets that get requests are <targets>

    Examples:
      | then                      | event                                                                 | targets |
      | its entry has not changed | targets a and b are listed as of revision 150 of era 1                | b       |
      | another process starts    | a new process of a and target b are listed as of revision 150 of era 1 | a and b |

  Scenario Outline: A target that had left is offered again: <why>
    Given targets a and b as of revision 145 of era 1
    When target a drains as of revision 146 of era 1
    And <event>
    Then the targets that get requests are a and b

    Examples:
      | why                        | event                                                                |
      | it is another process      | a new process of a and target b are listed as of revision 30 of era 2 |
      | it writes its entry again  | targets a and b are listed in era 2 and a writes its entry again     |
      | it stays listed            | targets a and b are listed in era 2 for 6 seconds                    |

  Scenario: Instances of an earlier build state no era
    Given a leader that knew targets a and b as of revision 29 of era 2
    And a member that knew targets a and b as of revision 29 of era 2
    When the leader sees target c change as of revision 30 of era 2
    Then the member has the targets a, b and c after the view of a leader that states no era

  Scenario: A member of an earlier build gets changes
    Given a leader that knew targets a and b as of revision 29 of era 2
    And a member that knew targets a and b as of revision 29 of era 2
    When the leader sees target c change as of revision 30 of era 2
    Then a member that states no era has the targets a, b and c

  Scenario Outline: A complete list from the leader is acknowledged at once: <known>
    Given a leader that knew targets a and b as of revision 145 of era 1
    And a member that knew targets a and b as of revision <revision> of era <era>
    When the leader lists targets b and c as of revision 30 of era 2
    Then the member reports at once after each of 2 equal views: <answers>

    Examples:
      | known          | revision | era | answers |
      | an earlier era | 145      | 1   | yes, no |
      | the same era   | 29       | 2   | no, no  |
