Feature: Streams of several software versions after restarts and silence
  Guards against streams that go on at another software version than the one that
  began them, and against streams that nobody takes up, after processes were
  killed that knew which version began them, or beside engines that do not answer
  (P8).

  Background:
    Given two gateways on the platform

  Scenario: All gateways start again while a version leaves
    Given e2 runs another software version
    When 8 streams of m0 have run for 0.3 seconds at g1
    And e1 leaves while g1 and g2 are killed and start again
    And the callers go on at g1 and g2
    Then no stream goes on at another software version
    And engines of v1 and v2 began some of them

  Scenario: All gateways start again while the engines run two versions
    Given e2 runs another software version
    When 8 streams of m0 have run for 1.5 seconds at g1
    And g1 and g2 are killed and start again
    And the callers go on at g1 and g2
    Then each stream was completed by the software version that began it
    And engines of v1 and v2 began some of them

  Scenario: All gateways start again while the engines run one version
    When 8 streams of m0 have run for 0.3 seconds at g1
    And g1 and g2 are killed and start again
    And the callers go on at g1 and g2
    Then each stream was completed by the software version that began it

  # Otherwise g1 sends its callers to the version of its own first send. With
  # five gateways four others keep the stream, so that nobody corrects g1.
  Scenario: A gateway takes up a stream that it sent to an engine and passed on
    Given e2 runs another software version
    And three more gateways
    When g1 sends a stream of m0 to e1, gets no answer and passes it on to e2
    And the callers go on at g1 and g2
    Then each stream was completed by the software version that began it
    And engines of v2 began some of them
