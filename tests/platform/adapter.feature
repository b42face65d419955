Feature: What the adapter translates
  Guards against a key or a forged header that reaches a target, a setting that
  is silently wrong, and a half-applied configuration (P4, P5, P13).

  Scenario Outline: A caller's header <header> on the way to a target
    When a request with the header "<header>: <sent>" goes to a target
    Then the target sees "<seen>" there

    Examples:
      | header            | sent         | seen     |
      | X-Key             | secret       |          |
      | X-Tenant          | forged       | desk     |
      | X-Expect-Instance | forged       | e1       |
      | X-Hold            | 7            |          |
      | X-Pin-Ms          | 4000         |          |
      | X-Kv-Backup       | 10.0.0.1:80  |          |
      | Kv-From           | 10.0.0.1:80/7 |         |
      | X-Request-Priority | 0           | 3        |
      | X-Deadline-Ms     | 99999        | 1480     |
      | Connection        | x-model      |          |
      | Transfer-Encoding | chunked      |          |
      | X-Model           | m0/a1        | m0/a1    |
      | X-Attempt-Id      | abc          | abc      |
      | Last-Event-Id     | 3            | 12       |
      | Host              | desk.example | desk.example |

  Scenario: A header that concerns one connection is not passed on
    When a request names the header X-One-Hop in its Connection header
    Then the target does not see "x-one-hop"

  Scenario Outline: Settings with <problem> end the start with one line
    Given a settings file with <problem>
    When the program is started with it
    Then it exits with code 2 and one line that names "<name>"

    Examples:
      | problem              | name           |
      | no node              | node           |
      | a bound without sense | bounds.revoke_ms |
      | no internal ports    | internal_ports |
      | no file              | missing.conf   |

  Scenario: Unknown lines and fields of the settings are ignored
    Given a settings file with unknown lines and fields
    Then its settings are read

  Scenario Outline: The route for <path> is <route>
    Given the configuration of the desk and a route for "/chat/fast/"
    Then the route for "<host>" and "<path>" is "<route>"

    Examples:
      | host              | path         | route |
      | desk.example      | /chat/x      | chat  |
      | desk.example      | /chat/fast/x | fast  |
      | desk.example:8080 | /chat/x      | chat  |
      | desk.example      | /chat        | none  |
      | other.example     | /chat/x      | none  |

  Scenario Outline: A configuration with <problem> changes nothing
    When a configuration with <problem> is decoded
    Then it is refused as a whole

    Examples:
      | problem                |
      | no version             |
      | a route without a host |
      | a service as a number  |
