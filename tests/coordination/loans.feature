Feature: Loans and shares between zones
  Checks P7 between zones: the parts that zones use at the same time never
  exceed the limit, with lost, late and repeated messages and drifting clocks.

  Scenario Outline: The borrower stops before the lender resumes, <lender> and <borrower>
    Guards against a part that both zones use at the end of a loan.
    Given a lender whose clock runs at <lender> and a borrower at <borrower>
    When a loan is requested and answered <delay> seconds later
    Then the borrower's grants expire before the lender resumes

    Examples:
      | lender | borrower | delay |
      | 1      | 1        | 0     |
      | 1.01   | 0.99     | 0     |
      | 1.01   | 0.99     | 1     |
      | 0.99   | 1.01     | 0     |
      | 0.99   | 1.01     | 2     |

  Scenario Outline: A loan whose <event>
    Guards against a part that the lender uses while the borrower may use it.
    Given a loan request for 10 that a lender with 6 to spare answers with 6
    When the loan is one whose <event>
    Then the lender counts <lent> as lent and the borrower may use <borrowed>

    Examples:
      | event                          | lent | borrowed |
      | answer is lost                 | 6    | 0        |
      | answer arrives                 | 6    | 6        |
      | answer arrives twice           | 6    | 6        |
      | answer arrives after its end   | 0    | 0        |
      | request arrives twice          | 6    | 6        |
      | borrower renews it             | 6    | 6        |
      | renewal answer is lost         | 6    | 0        |
      | lifetime is over               | 0    | 0        |

  Scenario: Limits of three ledgers with random loans
    Guards against limits of zones that sum to more than the organisation's.
    Then with random loans, lost answers and clocks the limits of three ledgers never exceed the total

  Scenario: Shares of four zones with random failures
    Guards against a zone that uses a share before its source has stopped using
    it, with new generations, partitions, lost or late writes and new leaders.
    Then with random generations, partitions, lost and late writes the shares in use never exceed the total

  Scenario: Shares move to a new zone and from a removed one
    Guards against an implementation that is safe because no share ever moves.
    Given zones "a b c" with equal shares
    When the configuration has the zones "b c d"
    Then the shares become equal over "b c d" after old shares have drained
