Feature: Inbox of the dispatch loop
  Guards against a full inbox that drops a configuration or a drain, which are
  sent only once: a withdrawn key would stay valid and a planned stop would not
  end (P6, P12, P13).

  Scenario Outline: A full inbox does not drop <event>
    Given a dispatch loop whose inbox is full of peer messages
    When <event> is posted and the loop runs
    Then <effect>

    Examples:
      | event           | effect                         |
      | a configuration | that configuration is in force |
      | a drain         | new requests are refused       |
