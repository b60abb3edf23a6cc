Feature: When a request is refused as "not run", it truly did not run

  Scenario: Many deposits under kills, suspensions and silent connections
    Given a running fleet behind relays
      | service  | zone | count | target arguments |
      | payments | za   | 2     | --service-ms 20  |
      | payments | zb   | 2     | --service-ms 20  |
      | payments | zc   | 2     | --service-ms 20  |
      | shop     | za   | 2     |                  |
    When 1500 deposits are sent by 12 callers while targets and daemons fail in turn
    Then no deposit ran twice, none that was reported as not-run has run, and most got verdict ran

  Scenario: A deposit withdrawn from a queue runs elsewhere, once
    Given a running fleet
      | service  | zone | count | target arguments  | slots |
      | payments | za   | 1     | --service-ms 1500 | 1     |
      | payments | zb   | 1     | --service-ms 5    | 10    |
      | shop     | za   | 1     |                   |       |
    When the slow target of payments is busy and 20 deposits follow
    Then each of the 20 deposits got verdict ran, and every deposit ran exactly once

  Scenario: Idempotent requests that are hedged and refused while targets are full
    Given a running fleet
      | service   | zone | count | target arguments | slots |
      | catalogue | za   | 2     | --service-ms 300 | 1     |
      | shop      | za   | 1     |                  |       |
    When 120 idempotent requests with deadlines of 450 ms are sent by 12 callers
    Then no request that was reported as not-run has run

  Scenario: A response of a target is passed on although another attempt was refused
    Given a running fleet
      | service   | zone | count | target arguments | slots |
      | catalogue | za   | 1     |                  | 10    |
      | shop      | za   | 1     |                  |       |
    When the only target responds with 503 to an idempotent request
    Then the caller gets the target's 503 with verdict ran

  Scenario: Slow deposits without a key are asked about while they run, and run once
    Given a running fleet
      | service  | zone | count | target arguments  |
      | payments | za   | 2     | --service-ms 2500 |
      | shop     | za   | 1     |                   |
    When 4 deposits without a key are sent at once
    Then each of them got verdict ran, and ran exactly once
