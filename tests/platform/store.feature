Feature: Client of the platform's object store
  Guards against writes of unknown outcome that count as failed or done, lists
  that lack a page, changes lost with a compacted history, and against revisions
  of two histories that are taken for one after the store came back from an
  older copy (P13, P14).

  Background:
    Given a simulated platform store with 7 targets

  Scenario: A list includes all pages
    When the targets are listed
    Then the list has 7 targets

  Scenario: A watch reports the changes since a list
    When one target changes and one is removed after the targets are listed
    Then the watch reports one changed and one removed target

  Scenario Outline: An odd entry does not hide the others: <entry>
    When a target <entry> is listed, and changes while it is watched
    Then 7 targets are listed and 1 change is seen

    Examples:
      | entry                         |
      | nested 100000 deep            |
      | with a number of 400 digits   |
      | with a number of 5000 digits  |
      | with a number beyond a double |
      | with an unpaired surrogate    |
      | with a swapped pair           |
      | that ends in a surrogate      |

  Scenario: An unpaired surrogate changes no other character
    When a target with an unpaired surrogate is listed, and changes while it is watched
    Then the odd value is read as a smiley, an escaped escape and a replacement

  Scenario: A watch without changes returns after its wait time
    When the targets are listed and watched for 0.2 seconds
    Then the watch reports no change

  Scenario: A watch without changes does not advance the revision
    When the targets are listed and watched while the store's revision grows
    Then the next watch starts at the revision of the list

  Scenario: A compacted history requires a new list
    When the history is compacted after the targets are listed
    Then the watch ends with HistoryGoneError

  Scenario Outline: A <call> while the store <fault> ends with <outcome>
    Given the store <fault>
    When a <call> is made
    Then the call ends with <outcome>

    Examples:
      | call         | fault                  | outcome               |
      | read         | works                  | success               |
      | create       | works                  | success               |
      | second create | works                 | StoreConflictError    |
      | update       | works                  | success               |
      | stale update | works                  | StoreConflictError    |
      | delete       | works                  | success               |
      | stale delete | works                  | StoreConflictError    |
      | read         | is unavailable         | StoreUnavailableError |
      | update       | is unavailable         | StoreUnavailableError |
      | read         | rejects calls          | StoreUnavailableError |
      | update       | loses responses        | StoreUnavailableError |
      | update       | applies writes late    | StoreUnavailableError |
      | read         | does not respond       | StoreUnavailableError |

  Scenario Outline: The end of an outage is known: <fault> for <seconds> seconds
    Given the store <fault>
    When it is read for <seconds> seconds until it works again, and answers
    Then the client knows of the end of an outage: <known>

    Examples:
      | fault            | seconds | known |
      | does not respond | 0.8     | yes   |
      | is unavailable   | 1.6     | yes   |
      | is unavailable   | 0.2     | no    |
      | works            | 1.2     | no    |

  Scenario: A call that an earlier outage holds up is no new outage
    Given the store does not respond
    When a read that gets no answer ends after another read was answered
    Then the client knows of the end of an outage: no

  Scenario: A write without a response is confirmed by reading the object
    Given the store loses responses
    When a update is made
    Then the store holds the written object

  Scenario Outline: A watch does not go on in another history, <state>
    When the store comes back from a copy while the targets are <state>
    Then the watch ends with HistoryGoneError

    Examples:
      | state                                  |
      | listed                                 |
      | watched                                |
      | listed, and gives out revisions again  |

  Scenario: A watch ends as soon as another call shows that the store came back
    When an object is read while the targets of a returned store are watched for 2 seconds
    Then the watch ends with HistoryGoneError
    And it ended within 0.5 seconds

  Scenario: A list is of one history
    When the store comes back from a copy between two pages of a list
    Then the list ends with HistoryGoneError

  Scenario: Versions rise when the store comes back from a copy
    When an object is read before and after the store comes back from a copy
    Then the second version is higher, and the next higher still

  Scenario: A write does not expect a version of another history
    When the store comes back from a copy and gives out the expected revision again
    Then an update and a delete end with StoreConflictError

  Scenario Outline: An answer that states the era <era> changes nothing
    When a read gets an answer that states the era <era>
    Then the call ends with StoreUnavailableError
    And the next call ends with success in era 3

    Examples:
      | era     |
      | 2       |
      | -1      |
      | none    |
      | 9999999 |
