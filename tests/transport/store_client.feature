Feature: Platform store client
  Guards P13 and P14 against a store that is slow, unavailable, silent or
  stale: an unanswered write that is sent twice, a watch that stays silent
  forever, a stale list that reverts a change, and a burst of calls after an
  outage.

  Scenario Outline: A call during a fault ends in bounded time with one request
    Given a store that holds "k" and answers the next request with <fault>
    When the store client calls <call>
    Then the store call ends with <outcome>
    And the fake store received 1 request

    Examples:
      | call   | fault       | outcome               |
      | read   | ok          | success               |
      | read   | unavailable | StoreUnavailableError |
      | read   | silent      | StoreUnavailableError |
      | read   | malformed   | StoreUnavailableError |
      | read   | lost answer | StoreUnavailableError |
      | update | ok          | success               |
      | update | lost answer | StoreUnavailableError |
      | update | silent      | StoreUnavailableError |
      | stale update | ok    | StoreConflictError    |
      | create | ok          | StoreConflictError    |
      | delete | ok          | success               |
      | list   | malformed   | StoreUnavailableError |
      | instances | ok       | success               |

  Scenario: Reading the attempt id resolves a lost answer
    Given a store that holds "k" and answers the next request with lost answer
    When the store client calls update
    And the store client reads "k" back
    Then the object has the attempt id of the write

  Scenario: One failed call replaces all pooled connections
    Given a store that holds "k" and answers the next request with ok
    When 4 pooled connections fall silent and two reads follow
    Then only the first of the reads fails

  Scenario Outline: A watch delivers all changes despite a fault
    Given a store that holds "k" and answers the next request with <fault>
    When the store client watches while "k" changes twice
    Then the watch reports each version once and in order

    Examples:
      | fault        |
      | ok           |
      | silent watch |
      | broken watch |
      | repeating watch |
      | unavailable  |
      | expired      |

  Scenario: Changes arrive while all watches are silent
    Given a store that holds "k" and answers the next request with ok
    And all watches of the fake store are silent
    When the store client watches while "k" changes twice
    Then the watch reports each version once and in order

  Scenario: A stale list after a lost watch reverts no change
    Given a store that holds "k" and answers the next request with expired
    And the list of the store misses the newest object
    When the store client watches while "k" changes twice
    Then the watch reports each version once and in order
    And the watch reports no deletion

  Scenario: Calls above the budget are refused without a request
    Given a store that holds "k" and answers the next request with ok
    When 200 reads are made at once with a budget of 20 calls a second
    Then the fake store received at most 45 requests
    And the other reads end with StoreUnavailableError

  Scenario: Clients spread their calls after an outage
    Given an outage in which 50 clients fail 6 times in a row
    Then their next calls are spread over more than 1 second
    And no client waits longer than 2 seconds
