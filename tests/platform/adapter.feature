Feature: Platform adapter
  Guards against keys or forged headers that reach a target, invalid settings
  that are accepted, and partly applied configurations (P4, P5, P13).

  Scenario Outline: Forwarding of a caller's header <header>
    When a request with the header "<header>: <sent>" is forwarded
    Then the target receives the header with "<received>"

    Examples:
      | header            | sent         | received |
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

  Scenario Outline: An answer whose limit is <text>
    Then an answer with the header "Server-Limit: <text>" names the limit <rate>

    Examples:
      | text   | rate |
      | 4.9    | 4.9  |
      | 1      | 1.0  |
      | 0      | 0.0  |
      | none   | None |
      | inf    | None |
      | nan    | None |

  Scenario Outline: An entry of a target whose <field> is <text> names no target
    Then an entry whose <field> is <text> names no target

    Examples:
      | field | text                   |
      | addr  | "10.0.0.1:65536"       |
      | addr  | "10.0.0.1:0"           |
      | addr  | "10.0.0.1:-1"          |
      | addr  | "10.0.0.1:99999999999" |
      | addr  | "nowhere:80"           |
      | addr  | "[::1"                 |
      | addr  | "::1:8080"             |
      | addr  | "[::1]:8080"           |
      | zone  | "z\ufffd"              |
      | version | "v\ufffd"            |
      | service | "llm\ufffd"          |
      | slots | 99999999999999999999   |
      | slots | -1                     |
      | slots | 1e308                  |
      | seq   | 99999999999999999999   |
      | born  | 99999999999999999999   |

  Scenario Outline: An entry with the name <text> names no target
    Then an entry with the name <text> names no target

    Examples:
      | text              |
      | "i-\ufffd"        |
      | "i-\u00fc"        |
      | "i\nX-Tenant: y"  |
      | "i\u0000"         |
      | " i"              |
      | ""                |

  Scenario Outline: A target whose <field> is <text> gets no call
    Then calls to a target whose <field> is <text> end without an answer

    Examples:
      | field     | text        |
      | target_id | "i-\ufffd"  |
      | target_id | "i\ny: z"   |
      | address   | "::1:8080"  |
      | address   | "a:b"       |

  Scenario Outline: An answer <status> with <header>
    Then a <status> answer with the header "<header>" says that its target <meaning>

    Examples:
      | status | header                | meaning                |
      | 200    | Server-Leaving: 1     | is leaving             |
      | 503    | Server-Leaving: 1     | is leaving             |
      | 200    | Server-Leaving: 0     | is well                |
      | 503    | Retry-After: 1.5      | wants a pause of 1.5 s |
      | 200    | Retry-After: 1.5      | is well                |
      | 503    | Retry-After: soon     | is well                |
      | 200    | Server-Brittle: 3     | is brittle at 3        |
      | 503    | Server-Brittle: 3     | is brittle at 3        |

  Scenario: A header named in the Connection header is not forwarded
    When a request that names X-One-Hop in its Connection header is forwarded
    Then the target does not receive the header "x-one-hop"

  Scenario Outline: The program refuses to start with <problem>
    Given a settings file with <problem>
    When the program is started with this file
    Then it exits with code 2 and one error line that contains "<name>"

    Examples:
      | problem              | name           |
      | no node              | node           |
      | a malformed bound    | bounds.revoke_ms |
      | no internal ports    | internal_ports |
      | memory that is no number | limits.memory_mb |
      | memory in words      | limits.memory_mb |
      | no descriptors       | limits.max_fds |
      | half a descriptor    | limits.max_fds |
      | no file              | missing.conf   |

  Scenario: Unknown lines and fields of the settings file are ignored
    Given a settings file with unknown lines and fields
    Then the settings are parsed

  Scenario Outline: The route for <path> is <route>
    Given the sample configuration with another route for "/chat/fast/"
    Then the route for "<host>" and "<path>" is "<route>"

    Examples:
      | host              | path         | route |
      | desk.example      | /chat/x      | chat  |
      | desk.example      | /chat/fast/x | fast  |
      | desk.example:8080 | /chat/x      | chat  |
      | desk.example      | /chat        | none  |
      | other.example     | /chat/x      | none  |

  Scenario Outline: A configuration with <problem> is rejected
    When a configuration with <problem> is decoded
    Then the whole configuration is rejected

    Examples:
      | problem                |
      | no version             |
      | a route without a host |
      | a service as a number  |

  Scenario Outline: The first start of the system is stated: <line>
    Given the line "<line>" in a settings file
    Then it is the first start of the system: <answer>

    Examples:
      | line            | answer |
      | bootstrap=true  | yes    |
      | bootstrap=false | no     |
      | bootstrap=      | no     |
      | other=1         | no     |

  Scenario Outline: An entry of a target with the version <version>
    When an entry with the version <version> is decoded
    Then its software version is <decoded>

    Examples:
      | version  | decoded     |
      | "v1.2"   | v1.2        |
      | "2024-x" | 2024-x      |
      | 7        | of no target |
      | null     | of no target |

  Scenario: A caller that takes up a stream names its attempt
    When a request with "Last-Event-Id: 12" and "Resumes: abc" is read
    Then it continues attempt "abc" after event "12"

  Scenario: A relayed target keeps its software version
    When a target of the software version "v1.2" is relayed to a member
    Then the member knows the software version "v1.2"
