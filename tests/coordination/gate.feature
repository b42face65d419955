Feature: Limits of a zone on loads from the weight store
  Guards against more loads than the weight store allows (P2, P3): shares that
  add up to more than the limit, bursts, slots released while their order is in
  doubt, and loans used after their expiry.

  Scenario Outline: <slots> slots and <adapters> adapters over <zones> zones
    Then the shares of <slots> slots and <adapters> adapters over <zones> zones add up to the limits

    Examples:
      | slots | adapters | zones |
      | 4     | 32       | 3     |
      | 4     | 32       | 11    |
      | 2     | 1        | 1     |

  Scenario: Starts of loads are spaced by the rate of the share
    Given a gate with 2 loads a second, 4 slots and 1 adapter
    Then a load at 10.0 starts
    And a load at 10.4 waits
    And a load at 10.5 starts
    And an adapter load at 10.5 starts
    And an adapter load at 10.6 waits

  Scenario: A slot is released only when its load has ended
    Given a gate with 10 loads a second, 1 slots and 1 adapter
    Then a load at 10.0 starts
    And a load at 30.0 waits
    And the delay of another load at 10.0 is 5.0 seconds
    When the first load ends
    Then a load at 30.0 starts

  Scenario: A load of a predecessor occupies a slot until its outcome is known
    Given a gate with 10 loads a second, 1 slots and 1 adapter
    When a slot is held for a load that may have started
    Then a load at 10.0 waits
    When the gate retains only known loads
    Then a load at 10.0 starts

  Scenario Outline: A loan of <amount> slots until 20
    Given a gate with 10 loads a second, 1 slots and 1 adapter
    When <amount> slots are on loan until 20
    Then a load at <first> <first outcome>
    And a load at <second> <second outcome>

    Examples:
      | amount | first | first outcome | second | second outcome |
      | 1      | 10.0  | starts        | 10.2   | starts         |
      | 1      | 14.0  | starts        | 16.0   | waits          |
      | -1     | 10.0  | waits         | 19.9   | waits          |
      | -1     | 10.0  | waits         | 20.0   | starts         |

  Scenario: Loads are ordered by slack and then by nearest checkpoint
    Then these loads start in the order of the table
      | deployment | deadline | load | checkpoint |
      | m1         | 10       | 8    | remote     |
      | m2         | 12       | 8    | memory     |
      | m3         | 12       | 8    | disk       |
      | m4         | 12       | 8    | remote     |
      | m5         | 11       | 2    | memory     |
