Feature: Allowance records that a zone needs to change
  Checking all 54,000 deployments in each tick would take a leader longer than
  its lease lasts, and P1 depends on the right rows. Guards against an index
  that misses a change or keeps an outdated one.

  Scenario: The index agrees with a scan of all deployments
    Then random changes of configuration and rows give the due records of a full scan

  Scenario Outline: The index follows a change of one deployment
    Given an allowance tracker with one deployment whose rows are <rows>
    When this changes: <change>
    Then its record is <outcome>

    Examples:
      | rows    | change                                  | outcome |
      | missing | nothing                                 | due     |
      | missing | the deployment leaves the configuration | not due |
      | written | nothing                                 | not due |
      | written | the deployment leaves the configuration | due     |
      | written | the own row is lowered                  | due     |
      | written | the record is lost                      | due     |
      | written | the deployment gets no replica          | due     |
      | written | all other zones are removed             | due     |

  Scenario: A tick without a change checks no deployment
    Given an allowance tracker with 2000 deployments and written rows
    When the due records are asked for 10 times
    Then no record is due and no zone is ranked
