Feature: Messages between instances
  Guards against frames that one instance encodes and another cannot decode.

  Scenario Outline: A message is unchanged after encoding and decoding
    Given a <message> message
    When it is encoded and decoded
    Then the decoded message equals the original

    Examples:
      | message      |
      | Heartbeat    |
      | CreditGrant  |
      | PoisonNotice |
      | ReplicaView  |

  Scenario Outline: A frame that is not a message is rejected
    When the frame <frame> is decoded
    Then decoding fails with a validation error

    Examples:
      | frame        |
      | 80           |
      | 81a474797065 |
      | c0           |
