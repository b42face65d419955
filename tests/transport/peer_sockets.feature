Feature: Sockets between instances
  Guards P14 against peers that do not belong to the fleet, frames that exhaust
  memory, and sends that block on a dead peer. Also guards the control budget.

  Scenario Outline: Only messages from peers of the fleet are received
    Given an instance that listens for peers
    When a sender with <keys> sends a message to it
    Then the message is <outcome>

    Examples:
      | keys                               | outcome     |
      | the fleet secret                   | received    |
      | another secret                     | not received |
      | the server key and its own key pair | not received |
      | no encryption                      | not received |

  Scenario Outline: A frame that cannot be decoded does not stop the receiver
    Given an instance that listens for peers
    When a peer sends <frame> and then a message
    Then the message is received
    And <count> undecodable messages were counted

    Examples:
      | frame               | count |
      | random bytes        | 1     |
      | one frame too many  | 1     |
      | an oversized frame  | 0     |

  Scenario: Sending to a dead peer neither blocks nor queues without limit
    Given an instance that listens for peers
    When it sends 10000 messages to an address that does not answer
    Then more than 9000 messages were dropped

  Scenario: A message above the size limit is not sent
    Given an instance that listens for peers
    When it sends a message of 600000 bytes to itself
    Then 1 messages were dropped

  Scenario: Messages of a restarted peer are received
    Given an instance that listens for peers
    When a peer sends a message, restarts and sends again
    Then both messages are received

  Scenario: A new connection replaces the old one
    Given an instance that listens for peers
    When it reconnects a peer to another address and sends
    Then the message arrives at the other address
