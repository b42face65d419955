Feature: Operator commands
  Guards P13 against operators who overwrite each other's changes, against an
  invalid questionnaire that changes the configuration, and against errors that
  do not name their cause. Commands run against the platform stand-in.

  Scenario Outline: A failing command reports the cause and changes nothing
    Given a platform with the sample questionnaire applied
    When the command <command> gets the sample with <change>
    Then it exits with code 2, an error line with "<text>" and no traceback
    And generation 1 is shown

    Examples:
      | command                        | change       | text |
      | check -                        | rate: -1     | organisations.acme.rate |
      | apply -                        | rate: -1     | organisations.acme.rate |
      | apply -                        | zones        | zones: Field required |
      | apply - --expected-generation=7 | rate: 7     | conflict: generation 1 is in force |
      | apply missing.yaml             | rate: 7      | missing.yaml |
      | diff - --store-url=http://127.0.0.1:9 | rate: 7 | platform store |
      | diff - --store-url=ftp://x     | rate: 7      | --store-url |
      | apply -                        | an outage    | platform store |
      | digest                         | no text      | a key is expected |

  Scenario: A change is shown, applied and recognised as applied
    Given a platform with the sample questionnaire applied
    When the command diff - gets the sample with rate: 7
    Then it prints "~ organisations.acme.rate: 100.0 -> 7.0"
    When the command apply - gets the sample with rate: 7
    Then it prints "generation 2 is in force"
    When the command apply - gets the sample with rate: 7
    Then it prints "no change to generation 2"

  Scenario: Operators apply different changes at the same time
    Given a platform with the sample questionnaire applied
    When 4 operators apply different changes at the same time
    Then each command either created a generation or reported the conflict

  Scenario: A change is reported as applied although answers are lost
    Given a platform with the sample questionnaire applied
    And the next 2 writes take effect without an answer
    When the command apply - gets the sample with rate: 7
    Then it prints "generation 2 is in force"

  Scenario: The digest command prints the digest of a key
    Given a platform with the sample questionnaire applied
    When the command digest gets the key "secret"
    Then it prints "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
