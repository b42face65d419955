Feature: Crowds of callers that stall or do not read
  Guards against callers outside the operators' control that ended a process: it
  kept all that they sent, and accepted all their connections. A gateway process
  runs with lowered limits of its machine; crowds, limits and bounds were fixed
  before the gateway bounded what it keeps.

  Scenario Outline: A gateway outlasts <crowd>
    Given a gateway on a machine with <memory> MB and <descriptors> descriptors
    When a crowd comes with <crowd>
    Then the gateway has had at most <memory> MB and <descriptors> descriptors
    And an ordinary request is answered
    When the crowd has left
    Then the gateway has had at most <memory> MB and <descriptors> descriptors
    And an ordinary request is answered
    And the descriptors that the crowd took are free again

    Examples:
      | crowd                                                      | memory | descriptors |
      | 150 bodies that stop one byte short                        | 120    | 1024        |
      | 400 bodies that stop one byte short                        | 120    | 1024        |
      | 150 bodies that stop one byte short, in pieces             | 120    | 1024        |
      | 400 bodies that stop one byte short, in pieces             | 120    | 1024        |
      | 400 chunked bodies of large chunks without the last one    | 120    | 1024        |
      | 24 chunked bodies of one-byte chunks without the last one  | 120    | 1024        |
      | 400 whole bodies for a model that lies on no engine        | 120    | 1024        |
      | 200 connections with requests ahead and no answer read     | 100    | 1024        |
      | 240 connections that send nothing or half a head           | 120    | 200         |
      | 332 connections of all these kinds                         | 120    | 250         |
