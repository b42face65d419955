Feature: Questionnaire and the configuration generated from it
  Guards against an unintended configuration (P4, P13): an answer is misread, a
  key belongs to two organisations, a load can never succeed, or a shard does
  not belong to its manifest.

  Scenario Outline: An invalid answer is rejected with the path of its question
    Given the sample questionnaire
    When <old> is replaced by <new>
    Then the problem <problem> is reported

    Examples:
      | old                   | new                    | problem                                                                                      |
      | rate: 100             | rate: -1               | organisations.acme.rate: Input should be greater than 0                                      |
      | rate: 100             | rate: .nan             | organisations.acme.rate: Input should be a finite number                                     |
      | rate: 100             | rte: 100               | organisations.acme.rte: Extra inputs are not permitted                                       |
      | zones: [a, b]         | zones: [a, a]          | zones: "a" is listed 2 times                                                                 |
      | zones: [a, b]         | zones: [b]             | targets.e1.zone: "a" is not in zones                                                         |
      | zones: [a, b]         | zones: a               | zones: Input should be a valid tuple                                                         |
      | zones: [a, b]         | zones: [no]            | zones.0: Input should be a valid string                                                      |
      | base: tulip           | base: daisy            | adapters.tulip-nl.base: "daisy" is not in models                                             |
      | tulip-nl: {base       | tulip: {base           | adapters.tulip: models has the same name                                                     |
      | memory: 500           | memory: 5000           | models.tulip.memory: needs 5000 MB with its base, the largest engine of the pool has 1000 MB |
      | pool: assist, mem     | pool: none, mem        | models.tulip.pool: "none" has no engine                                                      |
      | replicas: 1           | replicas: 2            | models.tulip.replicas: 2 replicas, but it fits on 1 engines of the pool                      |
      | organisations: [acme] | organisations: [other] | models.tulip.organisations: "other" is not in organisations                                  |
      | open_to_all: true     | organisations: [x]     | services.faq.organisations: "x" is not in organisations                                      |
      | pool: desk, open      | pool: assist, open     | services.faq.pool: "assist" has no service                                                   |
      | DIGEST2               | DIGEST1                | organisations.beta.callers.shop.key_digests: also a key of organisations.acme.callers.desk   |
      | DIGEST2               | a-plain-key            | organisations.beta.callers.shop.key_digests.0: String should match pattern                   |
      | services:             | zones: [b]\nservices:  | line 19: "zones" is answered twice                                                           |
      | services:             | services: [            | line 21:                                                                                     |
      | :10                   | :9                     | targets.s1.url: also the url of targets.e1                                                   |
      | version: "1"          | version: 1.0           | models.tulip.version: Input should be a valid string                                         |

  Scenario Outline: The samples are valid and have the sizes on the design page
    Then the sample file <name> has <zones> zones, <engines> engines, <models> models and <adapters> adapters

    Examples:
      | name         | zones | engines | models | adapters |
      | service_desk | 3     | 9       | 40     | 75       |
      | webshop      | 4     | 13      | 35     | 115      |

  Scenario: Every problem is reported at once
    Given the sample questionnaire
    When "rate: 100" and "burst: 200" are replaced by negative numbers
    Then 2 problems are reported

  Scenario: A configuration is unchanged after encoding and decoding
    Given the sample questionnaire
    When its configuration is encoded, written as JSON and decoded
    Then the decoded configuration equals the generated one
    And it contains no plain key and no empty shard

  Scenario: An adapter without organisations inherits those of its base
    Given the sample questionnaire
    Then only "acme" may use the adapter "tulip-nl"

  Scenario: An answer equal to the default or in another order changes no digest
    Given the sample questionnaire
    When "burst: 200" is replaced by "burst: 200, isolation_limit: 300"
    Then the digests of the shards are the same

  Scenario Outline: A manifest and shards that do not match are rejected
    Given the sample questionnaire
    When one shard is <fault>
    Then decoding the configuration fails

    Examples:
      | fault                 |
      | missing               |
      | of a later generation |
      | malformed             |
