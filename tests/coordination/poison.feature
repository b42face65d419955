Feature: Poison requests
  Guards against a request that crashes one target after another, and against
  refusing requests that were only in flight together with it (P14).

  # Events: send REQUEST TARGET, end REQUEST, crash TARGET BOOT,
  # notice REQUEST CRASH, wait SECONDS.
  Scenario Outline: <case>
    Given a poison tracker
    When the tracker receives the events "<events>"
    Then the poison states are "<states>"

    Examples:
      | case                                              | events                                                    | states                  |
      | one crash makes a request suspect                 | send x e1; send y e1; send z e2; crash e1 b1              | x suspect; y suspect; z clean |
      | the second crash refuses                          | send x e1; crash e1 b1; send x e2; crash e2 b1            | x refused               |
      | the same crash seen twice counts once             | send x e1; crash e1 b1; send x e1; crash e1 b1            | x suspect               |
      | a late report does not count for newer ones       | send x e1; crash e1 b1; send y e1; crash e1 b1            | x suspect; y clean      |
      | a crash seen here and elsewhere counts once       | send x e1; notice x e1/b1; crash e1 b1                    | x suspect               |
      | two copies in one crash count once                | send x e1; send x e1; crash e1 b1                         | x suspect               |
      | a restarted target may crash again                | send x e1; crash e1 b1; send x e1; crash e1 b2            | x refused               |
      | notices alone refuse                              | notice x e1/b1; notice x e2/b1                            | x refused               |
      | a finished request is not affected                | send x e1; end x; crash e1 b1                             | x clean                 |
      | crashes expire                                    | send x e1; crash e1 b1; wait 601                          | x clean                 |
      | a refusal ends when one crash has expired         | notice x e1/b1; wait 300; notice x e2/b1; wait 301        | x suspect               |
      | an expired crash does not count with a new one    | notice x e1/b1; wait 601; notice x e2/b1                  | x suspect               |

  Scenario: Targets that run a suspect are reported
    Given a poison tracker
    When the tracker receives the events "send x e1; send y e2; notice x e9/b1"
    Then the targets that run a suspect are "e1"

  Scenario: Every instance refuses after the notices of two crashes
    Given a poison tracker
    When the tracker receives the events "send x e1; crash e1 b1; send x e2; crash e2 b1"
    Then another tracker refuses "x" after the relayed notices
    And a tracker that starts later refuses "x" after all current notices

  Scenario: The organisation is part of the digest
    Then the request digests of "ab" with "c" and "a" with "bc" differ

  Scenario: Memory is bounded
    Given a poison tracker
    When notices about 10050 different requests arrive
    Then it stores 10000 crashes
