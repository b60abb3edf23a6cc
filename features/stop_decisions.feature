Feature: A daemon that stops serves what it can finish, and no request outlasts it

  # Guards against requests that are hedged too late to be answered before a stop ends (issue 51,
  # LOST).
  Scenario: When a late request is sent to another target
    Then in a stop that answers until 5.1 s, a request is sent once more at these times
      | sent | usual latency | sent once more |
      | 0.5  | 1.0           | 2.6            |
      | -3.0 | 1.0           | 2.6            |
      | 2.0  | 1.0           | 3.5            |
      | 2.6  | 1.0           | 4.1            |
      | 2.7  | 1.0           | never          |
      | 0.5  | 4.7           | never          |
      | 0.5  | unknown       | never          |

  Scenario: Which requests are taken
    Then in a stop that serves until 2.7 s and answers until 5.1 s, these requests are taken
      | sent | deadline | usual latency | taken |
      | 0.1  | 15.0     | 1.0           | yes   |
      | 0.1  | 15.0     | unknown       | yes   |
      | 0.1  | 15.0     | 3.4           | no    |
      | 2.6  | 15.0     | 1.6           | yes   |
      | 2.6  | 15.0     | 1.7           | no    |
      | 2.8  | 15.0     | 0.1           | no    |
      | 2.8  | 5.0      | 3.4           | yes   |

  # Guards against requests that run on an instance several times slower than usual while their
  # daemon stops (issue 51, LOST).
  Scenario: Instances of targets are slow
    Given a daemon that stops at 5.1 s, for whose route 1 s is the usual latency
    Then a request with a deadline of 15 s waits for the usual pace however often targets refuse
    And it may try slow targets again until 3.6 s, and is refused as not run then
    And a request with a deadline of 5 s runs on a slow target after 3 refusals

  # Guards against requests that are never hedged since targets refused them as slow (issue 51, LOST).
  Scenario: Targets refuse a request as slow before another one runs it
    Then of 3 attempts of which 2 were refused as slow, 1 counts as delivered
