Feature: Token ledger of a zone
  Checks P7: no organisation gets more than its rate and burst over all
  instances together under any failure of instances, leaders and messages.

  Scenario Outline: Limit of an overloaded organisation under <fault>
    Guards against credit that two leaders grant, that a late, lost or repeated
    message creates, or that two zones use at once; and against a ledger that
    keeps the limit by granting too little.
    Given 8 instances in 3 zones, 4 of them with requests at first
    And an organisation at 5 times its rate
    When 40 seconds of traffic run with the fault "<fault>"
    Then no window holds more tokens than the burst plus the rate times its length
    And at least <served> percent of the entitled tokens were served

    Examples:
      | fault                        | served |
      | none                         | 65     |
      | fleet starts                 | 45     |
      | holder killed                | 55     |
      | holder frozen then returning | 55     |
      | two holders                  | 55     |
      | three holders                | 50     |
      | store away                   | 55     |
      | instance killed              | 65     |
      | grant lost                   | 60     |
      | grant repeated               | 55     |
      | return repeated              | 65     |
      | zone cut off                 | 60     |
      | loan answer lost             | 60     |

  Scenario Outline: An organisation within its rate is served when its requests reach <spread>
    Guards against wrongful refusals where an equal share of the limit is too
    small for the zone or instance that receives the requests.
    Given an organisation at 0.8 times its rate whose requests reach <spread>
    When the same requests run with ledgers and with equal shares by instance
    Then the ledgers refuse at most <wrongful> percent wrongfully
    And the ledgers refuse less than equal shares

    Examples:
      | spread       | wrongful |
      | even         | 0.5      |
      | one zone     | 0.5      |
      | one instance | 0.5      |

  Scenario: Limit of a window under any order of messages
    Guards against credit that is counted twice by return, expiry and refill.
    Then in any order of grants, reservations, settlements, lost, late and repeated messages no window exceeds the limit

  Scenario Outline: Usable fraction of the share of a leader that <state>
    Guards against two leaders of one zone that together exceed the share.
    Given a ledger whose leader <state>
    Then it grants from <fraction> of the zone's share after <seconds> seconds

    Examples:
      | state                                        | seconds | fraction |
      | has just taken over                          | 2       | 0        |
      | does not know that its predecessor stopped   | 600     | 0.5      |
      | does not know that its predecessor stopped   | 940     | 1        |
      | knows that its predecessor stopped           | 9       | 0.5      |
      | knows that its predecessor stopped           | 12      | 1        |
      | lost its lease after 20 seconds              | 19      | 1        |
      | lost its lease after 20 seconds              | 21      | 0.5      |
      | lost its lease after 20 seconds              | 921     | 0        |
      | lost its lease while its predecessor may run | 21      | 0        |
      | lost and renewed its lease                   | 60      | 1        |
      | stepped down                                 | 60      | 0        |

  Scenario: The estimated time to retry is accurate
    Guards against callers that are told to retry too early or later than
    needed.
    Then credit that was refused is granted at the estimated time and not much earlier

  Scenario: Small requests do not starve a large one
    Guards against starvation of a request that needs most of the burst.
    Given a ledger without tokens and a refused request for 90 of 100 tokens
    When another instance asks for 5 tokens every 0.1 seconds
    Then the large request is granted when it is repeated at the estimated time

  Scenario: A repeated request gets the same grant
    Guards against two grants for one request whose answer was lost.
    Given a ledger with 100 tokens
    When the same request for 40 tokens arrives twice
    Then both answers are equal and 60 tokens remain

  Scenario: Unused credit is refunded only as far as refill has not displaced it
    Guards against refunds that let the bucket and unspent credit together
    exceed the burst.
    Given a ledger with 100 tokens
    When a grant of 100 has 60 reserved, the ledger refills for 1 second, the rest is used and the 60 are returned
    Then at most 60 tokens can be granted

  Scenario: An organisation that is removed and added again gets no second burst
    Guards against a new bucket that does not count unexpired grants.
    Given a ledger with 100 tokens
    When 100 tokens are granted, the organisation is removed and added 0.5 seconds later
    Then nothing can be granted 1 second after the grant
