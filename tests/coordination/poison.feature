Feature: Poison requests
  Guards against a request that crashes one target after another, and against
  refusing requests that were only in flight together with it (P14).

  # Events: send REQUEST TARGET, end REQUEST, crash TARGET BOOT,
  # notice REQUEST CRASH, served REQUEST, disproved REQUEST CRASH (elsewhere),
  # wait SECONDS.
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
      | an answer before the crashes proves nothing       | served x; send x e1; crash e1 b1; send x e2; crash e2 b1  | x refused               |
      | nor does it against crashes seen elsewhere        | served x; notice x e1/b1; notice x e2/b1                  | x refused               |
      | an answer after a crash disproves it              | send x e1; crash e1 b1; wait 1; served x                  | x clean                 |
      | a crash after the answer counts                   | send x e1; crash e1 b1; wait 1; served x; notice x e2/b1  | x suspect               |
      | a late notice of a disproved crash does not count | notice x e1/b1; wait 1; served x; notice x e1/b1; notice x e2/b1 | x suspect              |
      | an answer elsewhere disproves the crashes it names | notice x e1/b1; notice x e2/b1; disproved x e1/b1        | x suspect               |
      | and none that are still unknown                   | disproved x e1/b1; notice x e1/b1; notice x e2/b1         | x suspect               |

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

  # Further events: send REQUEST TARGET PARTS, answer REQUEST (its answer has
  # begun), served REQUEST PARTS (it has ended), sound PART (elsewhere).
  Scenario Outline: Prompt parts: <case>
    Given a poison tracker
    When the tracker receives the events "<events>"
    Then a new request with the shared parts <parts> is <verdict>

    Examples:
      | case                                         | events                                                                             | parts | verdict  |
      | no two requests with the part are alike      | send x e1 q+p; crash e1 b1; send y e2 q+p; crash e2 b1                             | r+p   | refused  |
      | a sound request with the same earlier part   | send x e1 q+p; crash e1 b1; send y e2 q+p; crash e2 b1                             | q+s   | admitted |
      | one crash                                    | send x e1 q+p; crash e1 b1                                                         | q+p   | admitted |
      | three crashes on an earlier part             | send x e1 p+a; crash e1 b1; send y e1 p+b; crash e1 b2; send z e1 p+c; crash e1 b3 | p+s   | admitted |
      | four crashes on an earlier part              | send x e1 p+a; crash e1 b1; send y e1 p+b; crash e1 b2; send z e1 p+c; crash e1 b3; send w e1 p+d; crash e1 b4 | p+s | refused |
      | only one shared part                         | send x e1 p; crash e1 b1; send y e2 p; crash e2 b1                                 | p     | refused  |
      | a part that was answered before              | served a q+p; send x e1 q+p; crash e1 b1; send y e2 q+p; crash e2 b1               | q+p   | admitted |
      | a part that was answered before, four crashes | served a q+p; send x e1 q+p; crash e1 b1; send y e2 q+p; crash e2 b1; send z e1 q+p; crash e1 b2; send w e2 q+p; crash e2 b2 | r+p | refused |
      | an answer between four crashes               | served a p; send x e1 p; crash e1 b1; send y e2 p; crash e2 b1; wait 1; served b p; send z e1 p; crash e1 b2; send w e2 p; crash e2 b2 | p | admitted |
      | a part that is answered after the crashes    | send x e1 p; crash e1 b1; send y e2 p; crash e2 b1; served z p                     | p     | admitted |
      | a part that is answered elsewhere            | send x e1 p; crash e1 b1; send y e2 p; crash e2 b1; sound p                        | p     | admitted |
      | a part that comes to crash targets later     | served a p; wait 61; send x e1 p; crash e1 b1; send y e2 p; crash e2 b1            | p     | refused  |
      | an answer that began before the crashes      | served a p; send x e1 p; send w e3 p; answer w; crash e1 b1; send y e2 p; crash e2 b1; send z e1 p; crash e1 b2; send v e2 p; crash e2 b2; wait 1; answer w | p | refused |
      | an answer that began after them goes on      | served a p; send x e1 p; send w e3 p; crash e1 b1; send y e2 p; crash e2 b1; send z e1 p; crash e1 b2; send v e2 p; crash e2 b2; wait 1; answer w; wait 1; answer w | p | admitted |
      | answers that had gone on for a while         | send x e1 p; answer x; wait 0.6; crash e1 b1; send y e2 p; answer y; wait 0.6; crash e2 b1 | p | admitted |
      | answers that had just begun                  | send x e1 p; answer x; wait 0.1; crash e1 b1; send y e2 p; answer y; wait 0.1; crash e2 b1 | p | refused |
      | the crashes expire                           | send x e1 p; crash e1 b1; send y e2 p; crash e2 b1; wait 601                       | p     | admitted |

  Scenario Outline: A day on which requests with <where> crash engines: seed <seed>
    Given 6 instances before 6 engines that get 38 requests a second
    When 3 requests a second hold <where> that crashes engines for 40 seconds
    Then at most 3 requests with it are sent later than 3 seconds after the fifth crash
    And sound requests with each earlier part begin at least half as often
    And at most 2 + 4 in 100 of the parts are never served

    Examples:
      | where              | seed |
      | a last shared part | 1    |
      | a last shared part | 2    |
      | a last shared part | 3    |
      | an earlier part    | 4    |
      | an earlier part    | 5    |
      | an earlier part    | 6    |
      | an earlier part    | 8    |

  Scenario Outline: A day on which <where> that was answered comes to crash engines: seed <seed>
    Given 6 instances before 6 engines that get 38 requests a second
    When 3 requests a second hold <where> that crashes engines from second 10 to 50
    Then at most 3 requests with it are sent later than 3 seconds after the fifth crash
    And sound requests with each earlier part begin at least half as often
    And at most 2 + 4 in 100 of the parts are never served

    Examples:
      | where              | seed |
      | a last shared part | 1    |
      | a last shared part | 2    |
      | a last shared part | 3    |
      | a last shared part | 4    |
      | an earlier part    | 5    |
      | an earlier part    | 6    |
      | an earlier part    | 7    |
      | an earlier part    | 8    |

  Scenario Outline: One request is let through to find out whether targets still crash: <case>
    Given a poison tracker
    When the tracker receives the events "send x e1 p; crash e1 b1; send y e2 p; crash e2 b1; <events>"
    Then a new request with the shared parts p is <verdict>

    Examples:
      | case                            | events                                    | verdict  |
      | not at once                     | wait 29                                   | refused  |
      | after 30 seconds                | wait 30                                   | admitted |
      | only one                        | wait 30; try p                            | refused  |
      | only one at all instances       | wait 30; tried p                          | refused  |
      | the next one after 60 seconds   | wait 30; try p; wait 60                   | admitted |
      | an answer ends the refusal      | wait 30; try p; served z p                | admitted |
      | another crash goes on with it   | wait 30; try p; send z e3 p; crash e3 b1; wait 59 | refused |

  Scenario Outline: A part is not refused for crashes that another part explains: <case>
    Given a poison tracker
    When the tracker receives the events "<events>"
    Then a new request with the shared parts s is <verdict>

    Examples:
      | case                        | events                                                                                          | verdict  |
      | the other one crashed more  | send x e1 p; send a e1 s; crash e1 b1; send y e2 p; send b e2 s; crash e2 b1; send z e3 p; crash e3 b1 | admitted |
      | it was answered before      | served a s; send x e1 p; send a e1 s; crash e1 b1; send y e2 p; send b e2 s; crash e2 b1; send z e3 p; send c e3 s; crash e3 b1; send w e4 p; send d e4 s; crash e4 b1 | admitted |
      | it was answered more often  | served a s; served b s; served x p; send x e1 p; send a e1 s; crash e1 b1; send y e2 p; send b e2 s; crash e2 b1; send z e3 p; send c e3 s; crash e3 b1; send w e4 p; send d e4 s; crash e4 b1 | admitted |
      | both were answered once     | served a s; served x p; send x e1 p; send a e1 s; crash e1 b1; send y e2 p; send b e2 s; crash e2 b1; send z e3 p; send c e3 s; crash e3 b1; send w e4 p; send d e4 s; crash e4 b1 | refused |
      | both crashed the same       | send x e1 p; send a e1 s; crash e1 b1; send y e2 p; send b e2 s; crash e2 b1                     | refused  |
      | it crashed alone as well    | send x e1 p; send a e1 s; crash e1 b1; send b e2 s; crash e2 b1; send z e3 p; crash e3 b1; send y e4 p; crash e4 b1 | refused |
