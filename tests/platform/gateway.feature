Feature: Gateway processes on the platform
  Guards the whole request path against faults of the systems around it. Real
  gateway processes run against stand-ins of the platform's store, engines and
  services.

  Background:
    Given two gateways on the platform

  Scenario: A model that no engine holds is loaded and streamed
    When a caller asks g1 for a stream of m3 at /report/
    Then the response is 200 with 5 events in order
    And no engine held more models than fit into it

  Scenario: An adapter that no engine holds is loaded and used
    When a caller asks g2 for a stream of m0/a3 at /chat/
    Then the response is 200 with 5 events in order

  Scenario: Requests at both gateways cause one load
    When callers ask g1 and g2 for a stream of m2 at /report/ 6 times at once
    Then every response is 200 with 5 events in order
    And m2 was loaded once

  Scenario: A target learns the organisation and never the key
    When a caller sends an order to g1 and claims to be another organisation
    Then the response is 200
    And the service saw the organisation "desk" and no key

  Scenario Outline: A request is rejected: <why>
    When a caller sends <request> to g1
    Then the response is <status>
    And no target ran it

    Examples:
      | why                   | request                       | status |
      | unknown key           | an order with an unknown key  | 401    |
      | no key                | an order without a key        | 401    |
      | unknown route         | a request to /nowhere/        | 404    |
      | no id                 | an order without an id        | 400    |
      | body over the limit   | an order of 200000 bytes      | 413    |

  Scenario: A broken stream is resumed without a gap
    Given the next stream of an engine breaks after 2 events
    When a caller asks g1 for a stream of m0 at /chat/
    Then the response is 200 with 5 events in order

  Scenario: A broken stream goes on at the software version that began it
    Given e2 runs another software version
    And the next stream of an engine breaks after 2 events
    When a caller asks g1 for a stream of m0 at /chat/
    Then the response is 200 with 5 events in order
    And it was run at 1 software version

  Scenario: Callers take streams up at another gateway after the death of the first
    Given e2 runs another software version
    When g1 is killed during 8 streams of m0 and their callers go on at g2
    Then each stream was completed by the software version that began it
    And engines of v1 and v2 began some of them

  Scenario: A broken stream that may not be resumed is left incomplete
    Given the next stream of an engine breaks after 2 events
    When a caller asks g1 for a stream of m0 at /report/
    Then the response ends early
    And it was run once

  Scenario Outline: A response to another request never reaches a caller: <kind>
    Given the next response of each service has another id
    When a caller sends <request> to g1
    Then the response is <status>
    And it was run <runs>

    Examples:
      | kind       | request  | status | runs       |
      | unsafe     | an order | 502    | once       |
      | safe       | a lookup | 502    | at 2 targets |

  Scenario Outline: A response with a status outside the protocol never reaches a caller: <kind>
    Given the next response of each service has the status <sent>
    When a caller sends <request> to g1
    Then the response is <status>
    And it was run <runs>

    Examples:
      | kind         | sent | request  | status | runs         |
      | unsafe, 600  | 600  | an order | 502    | once         |
      | safe, 600    | 600  | a lookup | 502    | at 2 targets |
      | unsafe, 999  | 999  | an order | 502    | once         |

  Scenario: A request that a target refused without running it is sent again
    Given the next request of each service is refused without running it
    When a caller sends a lookup to g1
    Then the response is 200

  Scenario: A server error of a target reaches the caller
    Given the next 9 responses of each service are server errors
    When a caller sends a lookup to g1
    Then the response is 500
    And the response has the seal header of a target

  Scenario: A failed lookup is tried at another target
    Given the next response of one service is a server error
    When g1 gets 2 lookups
    Then each response is 200

  Scenario: A request that no target accepts is reported as not run
    Given every request of each service is refused without running it
    When a caller sends an order to g1
    Then the response is 503
    And the response says when to retry

  Scenario: A revoked key is rejected on an open connection
    Given a caller with an open connection to g1
    When the key is revoked
    Then the connection gets 401 within 2 seconds

  Scenario: Keys are rejected on an instance that cannot read the store
    Given a caller with an open connection to g1
    When the store stops responding
    Then the connection gets 503 within 4 seconds
    And a route open to all is still served by g1

  Scenario: Keys are rejected while a returned store lacks the configuration in force
    Given a caller with an open connection to g1
    When the store comes back from a copy without the configuration in force
    Then the connection gets 503 within 5 seconds
    When the operator writes the configuration in force again
    Then the connection gets 200 within 5 seconds

  Scenario: A gateway that starts after the store lost the secret learns it from the store
    When the store comes back from a copy without the secret of the fleet
    And g2 is restarted
    And a caller asks g2 for a stream of m3 at /report/
    Then the response is 200 with 5 events in order

  Scenario: The active configuration never reverts to an older one
    When the operator moves a route and then the store's history is compacted
    Then the new route is served by both gateways within 2 seconds
    And the old route is not served any more

  Scenario: Malformed and foreign target entries are ignored
    Given malformed and foreign entries among the targets
    When a caller sends an order to g1
    Then the response is 200

  Scenario: A draining target gets no new requests
    When service s1 reports that it is draining
    Then 20 lookups at both gateways run at s2 only

  Scenario: An engine that leaves during a load serves the request that waits for it
    Given engines without copies on disk that take 0.4 seconds for a load
    When a caller asks g1 for a stream of m3, and both engines announce during its load that they leave
    Then the response is 200 with 5 events in order

  Scenario: A target whose entry is deleted gets no new requests
    When the entry of service s1 is deleted
    Then 20 lookups at both gateways run at s2 only

  Scenario: A target that drains after the store came back from an older copy gets no new requests
    When the store comes back from an older copy
    And service s1 reports that it is draining
    Then 20 lookups at both gateways run at s2 only

  Scenario: An unreachable target delays requests only slightly
    Given a service s3 whose host drops every packet
    When a caller sends 20 lookups to g1 at once
    Then all get 200 within 0.9 seconds

  Scenario: An order goes to another target when one was not reached
    Given a service s3 whose host drops every packet
    When a caller sends 20 orders to g1 at once
    Then all get 200 within 0.9 seconds

  Scenario: An order goes to another target when one refused it without running
    Given service s1 refuses 60 requests without running them
    When a caller sends 6 orders to g1 one after the other
    Then all get 200 within 0.9 seconds

  Scenario: A killed leader is replaced
    Given a gateway leads
    When the leading gateway is killed
    Then a stream of m3 at /report/ through the other gateway is served within 8 seconds

  Scenario: A leader suspended past the end of its lease sends no orders
    Given a gateway leads
    When the leading gateway is suspended until the other one leads
    Then no engine has accepted an order of an old lease

  Scenario: Orders that are executed late exceed no engine's capacity
    Given the next 2 orders of each engine are executed 0.9 seconds late
    When a caller asks g1 for a stream of m2 at /report/
    And a caller asks g2 for a stream of m3 at /report/
    Then no engine held more models than fit into it

  Scenario: An order whose response is lost is executed once
    Given the next 2 orders of each engine get no response
    When a caller asks g1 for a stream of m2 at /report/
    Then the response is 200 with 5 events in order
    And m2 was loaded once

  Scenario: A graceful shutdown interrupts no stream
    When g1 gets SIGTERM while it streams 60 events
    Then g1 reports at once that it is not ready
    And the stream completes
    And g1 exits within 6 seconds

  Scenario Outline: A gateway that stops gets <second> as well
    Given engines that take 0.1 seconds for an event
    When g1 gets SIGTERM and then <second> while it streams 30 events
    Then the stream completes
    And g1 exits within 6 seconds

    Examples:
      | second  |
      | SIGHUP  |
      | SIGTERM |

  Scenario: A graceful shutdown cuts no request before the last sixth of the grace period
    Given engines that take 0.1 seconds for an event
    When g1 gets SIGTERM while it streams 48 events
    Then the stream completes
    And g1 exits within 2 seconds

  Scenario: A graceful shutdown accepts no request that it could not finish
    Given a caller with an open connection to g1
    When g1 gets SIGTERM and the caller waits for 4 seconds
    Then the connection has been closed without a request on it

  Scenario: A graceful shutdown rejects requests that wait for a model
    Given the next 90 orders of each engine are executed 9 seconds late
    When g1 gets SIGTERM while a caller waits for a stream of m2
    Then the caller is rejected within 3.4 seconds with shutting_down
    And it is told to retry within a second

  Scenario: A graceful shutdown ends a request whose target is silent
    Given services s1 and s2 run requests without responding
    When g1 gets SIGTERM while a caller waits for an order
    Then the caller gets a 504 that names answer_timeout
    And g1 exits within 3 seconds

  Scenario: A pending adapter takes an adapter slot
    Given an engine whose report lists an adapter as pending
    Then the survey of the engine includes it

  Scenario: All instances are killed and recover from the store alone
    When both gateways are killed and started again
    Then a stream of m3 at /report/ through g1 is served within 8 seconds

  Scenario: Only the leader reads the store in normal operation
    When 3 seconds pass without a change
    Then the store was asked at most 8 times a second in all

  Scenario: An instance that knows no targets yet is not ready
    When g1 starts alone while the list of targets cannot be read
    Then g1 is not ready until the list can be read

  Scenario: An instance starts while the store is unavailable
    When g2 is killed and started again while the store is unavailable for 2 seconds
    Then g2 becomes ready and serves an order

  Scenario: A run ends when its caller disconnects
    When a caller disconnects from g1 in the middle of a stream of 500 events
    Then no engine runs it half a second later

  Scenario: A reload signal does not end the process
    When g1 gets SIGHUP
    Then g1 still serves an order

  Scenario: A prompt part that crashes engines is refused everywhere
    Given engines that crash on the prompt part "0bad"
    When callers send 12 requests with the prompt parts "ab 0bad" to g1 and g2
    Then no engine crashed later than 1 second after the second crash
    And requests with the prompt parts "ab cd" are served by g1 and g2

  Scenario Outline: A repeated request that crashes services is refused everywhere: <history>
    Given <answered lookups>
    And services that crash on lookups of "/stock/7"
    When a caller sends the lookup of "/stock/7" 12 times to g1 and g2
    Then no service crashed later than 1 second after the second crash
    And lookups of "/stock/8" are served by g1 and g2

    Examples:
      | history                        | answered lookups                                           |
      | it was never answered          | lookups of "/stock/8" that g1 and g2 answered before       |
      | it was answered at one gateway | lookups of "/stock/7" that g1 answered before             |
      | it was answered at both        | lookups of "/stock/7" that g1 and g2 answered before       |

  Scenario Outline: <targets> get no more requests than the limit they name
    Given <targets> that name a limit of 2 requests a second
    When callers send <request> 16 times a second to g1 and g2 for 9 seconds
    Then after 3 seconds no 4 seconds have more than 17 arrivals at one of them
    And the requests that were not served were refused without running

    Examples:
      | targets  | request          |
      | engines  | a stream of m0   |
      | services | a lookup         |
