Feature: Credit of an instance
  Checks P7 at the instances: credit is spent once, before it expires and only
  as granted. Requests within the rate must not wait for the network.

  Scenario Outline: A grant that <case>
    Guards against credit that the ledger no longer counts as granted.
    Given a credit account that asked for 100 tokens at second 10
    When the account gets a grant of 100 tokens that <case>
    Then the account has <available> tokens available

    Examples:
      | case                                  | available |
      | answers its request                   | 100       |
      | arrives twice                         | 100       |
      | answers another request               | 0         |
      | arrives after its lifetime            | 0         |
      | has a lower fencing number than before| 0         |
      | has a lower number from another zone  | 100       |

  Scenario: The lifetime of credit starts with its request
    Given a credit account that asked for 100 tokens at second 10
    When the account gets a grant of 100 tokens that answers its request
    Then the account has 100 tokens available at second 11.9
    And the account has 0 tokens available at second 12

  Scenario Outline: A reservation of 80 tokens that uses <used> and ends at second <end>
    Guards against unused credit that is spent by the instance after the ledger
    has refilled it, and against use beyond a reservation that is not counted.
    Given a credit account that asked for 100 tokens at second 10
    When the account gets a grant of 100 tokens that answers its request
    And 80 tokens are reserved at second 10.5 and <used> used until second <end>
    Then the account has <available> tokens available at second <end>
    And the account reports <returned> tokens returned and <unspent> unspent

    Examples:
      | used | end | available | returned | unspent |
      | 30   | 11  | 20        | 50       | 20      |
      | 30   | 13  | 0         | 70       | 0       |
      | 0    | 11  | 20        | 80       | 20      |
      | 90   | 11  | 10        | 0        | 20      |

  Scenario: An unanswered request is repeated under the same id, then abandoned
    Guards against two grants for one request and against a late grant that is
    lost until it expires.
    Given a credit account that asked for 100 tokens at second 10
    Then the account repeats its request at second 10.35
    And the account sends no request at second 10.4
    And the account returns the whole grant and sends a new request at second 11.1

  Scenario: Credit is requested in advance
    Guards against requests that wait for the network although the
    organisation is within its rate.
    Given a credit account whose ledger grants every request in full
    When 10 tokens are reserved every 0.01 seconds for 10 seconds
    Then no reservation failed after the first second
    And at most 6 messages a second were sent

  Scenario: An estimate requires a recent refusal by the ledger
    Guards against refusing an idle organisation because of an outdated rate.
    Given a credit account that asked for 100 tokens at second 10
    When the ledger refuses it for 3 seconds with a rate of 50 tokens a second
    Then the estimated wait for 200 tokens is 5 seconds at second 10
    And there is no estimate for 200 tokens at second 20
