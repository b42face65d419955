Feature: The policy benchmark
  Guards against a benchmark that no longer runs after a change of the
  interface of a decision module.

  Scenario: The tiny run prints a row for every policy and scenario
    When the policy benchmark runs with the tiny load
    Then it prints a row for every policy in both scenarios
