Feature: The platform's store
  Guards against writes that are taken for failed or done when that is not
  known, lists that miss a page, and a history that was dropped (P13, P14).

  Background:
    Given the stand-in of the platform's store with 7 targets

  Scenario: A list is read over all its pages
    When the targets are listed
    Then 7 targets were read

  Scenario: A watch tells what has changed since a list
    When the targets are listed and then one changes and one is removed
    Then the watch tells one changed and one removed target

  Scenario: A watch without a change comes back
    When the targets are listed and watched for 0.2 seconds
    Then the watch tells nothing

  Scenario: A watch that told nothing has seen nothing
    When the targets are listed and watched while the store's revision grows
    Then the next watch starts where the list ended

  Scenario: A dropped history asks for a new list
    When the targets are listed and then the history is dropped
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
      | read         | is away                | StoreUnavailableError |
      | update       | is away                | StoreUnavailableError |
      | read         | refuses calls          | StoreUnavailableError |
      | update       | loses answers          | StoreUnavailableError |
      | update       | writes late            | StoreUnavailableError |
      | read         | is silent              | StoreUnavailableError |

  Scenario: An unanswered write is known by reading it back
    Given the store loses answers
    When a update is made
    Then the object holds what was written
