Feature: Claim of an idempotency key
  Guards against a second run of a keyed request (P10) when the store's
  response is lost after the write, the caller repeats the request at another
  instance, or instances compete for one key; and against an error that says
  "not run" although the request may have run (P9).

  # Each store call takes the next fault: before (lost without effect),
  # after (lost with effect), ok; "down" applies to all further calls.
  Scenario Outline: <case>
    Given an idempotency store with the record "<record>"
    When a keyed request is claimed under the faults "<faults>"
    Then the claim ends with "<outcome>" and an error that says "<ran>"

    Examples:
      | case                                          | record            | faults              | outcome     | ran          |
      | a new key runs                                | none              |                     | run         | nothing      |
      | a lost create without effect is repeated      | none              | before              | run         | nothing      |
      | a lost create with effect is read back        | none              | after               | run         | nothing      |
      | the read back is lost as well                 | none              | after before        | run         | nothing      |
      | two creates are lost with effect              | none              | before ok after     | run         | nothing      |
      | without the store the request is not run      | none              | down                | unavailable | not run      |
      | a started request may have run                | started           |                     | in_progress | may have run |
      | a lost create does not hide a started request | started           | before              | in_progress | may have run |
      | a finished request is answered again          | finished          |                     | replay      | nothing      |
      | a large answer is not recorded                | large             |                     | too_large   | may have run |
      | another body under the key is refused         | other body        |                     | mismatch    | not run      |
      | an expired record is replaced                 | expired           |                     | run         | nothing      |
      | a lost replace is read back                   | expired           | ok ok after         | run         | nothing      |
      | a record within the clock margin is valid     | just expired      |                     | in_progress | may have run |
      | an unreadable record counts as a claim        | unreadable        |                     | in_progress | may have run |

  Scenario Outline: Competing claims run at most once from seed <seed>
    When <count> random interleavings of 3 claims start from seed <seed>
    Then no interleaving lets more than one claim run
    And some interleavings let one claim run and some let none

    Examples:
      | seed | count |
      | 1    | 3000  |
      | 2    | 3000  |

  Scenario Outline: The outcome is recorded: <case>
    Given an idempotency store with the record "none"
    When a keyed request is claimed under the faults ""
    And its answer of <size> bytes is recorded under the faults "<faults>"
    Then recording returned <is_recorded> and a repeated request ends with "<outcome>"

    Examples:
      | case                        | size  | faults | is_recorded | outcome     |
      | at once                     | 10    |        | True        | replay      |
      | at the limit                | 65536 |        | True        | replay      |
      | above the limit             | 65537 |        | True        | too_large   |
      | lost with effect            | 10    | after  | True        | replay      |
      | lost without effect         | 10    | before | True        | replay      |
      | without the store           | 10    | down   | False       | in_progress |

  Scenario: A request that did not run releases its key
    Given an idempotency store with the record "none"
    When a keyed request is claimed under the faults ""
    And its claim is released
    And a keyed request is claimed under the faults ""
    Then the claim ends with "run" and an error that says "nothing"

  Scenario: A release does not delete the record of another claim
    Given an idempotency store with the record "started"
    When a keyed request is claimed under the faults ""
    And its claim is released
    Then the store still has the record

  Scenario: A sweep deletes expired records only
    Given an idempotency store with the record "expired"
    Then a sweep deletes 1 record of a store that also has "started"
