Feature: A configuration the system has accepted is in force everywhere within seconds and never reverts

  Scenario: Merging facts
    Then daemons that saw the same facts in any order hold the same, and no version goes back
    And a member's newest incarnation wins, and the worse status of the same one
    And no datagram, record or section, however broken, raises or changes a store

  Scenario: An edit is in force everywhere, and an invalid one changes nothing
    Given a running fleet with a platform
      | service   | zone | count |
      | catalogue | za   | 3     |
      | catalogue | zb   | 3     |
    When the section shop gets a valid edit
    Then it is in force at every daemon within 5 seconds
    When the section shop gets an invalid edit
    Then its status names the place of the error, and the valid edit stays in force
    When another section claims the same service
    Then its status names the section that owns the service

  Scenario: The platform is down, slow, and loses answers
    Given a running fleet with a platform
      | service   | zone | count |
      | catalogue | za   | 2     |
      | catalogue | zb   | 2     |
    When the platform loses the next 3 answers and the section shop gets a valid edit
    Then it is in force at every daemon within 10 seconds
    When the platform goes down and a daemon is replaced by one that knows only a peer
    Then the new daemon has the section in force within 5 seconds
    And requests still run
    When the platform is up but takes 1 second for each call, and the section shop gets a valid edit
    Then it is in force at every daemon within 10 seconds

  Scenario: Few daemons wait on the platform
    Given a running fleet with a platform
      | service   | zone | count |
      | catalogue | za   | 5     |
      | catalogue | zb   | 5     |
    Then within 15 seconds no more than 4 watches are open, and calls to the platform stay below 4 a second

  Scenario: Two operators edit the same section
    Given a running fleet with a platform
      | service   | zone | count |
      | catalogue | za   | 1     |
    When two operators edit the section shop from the same generation
    Then one is written, and the other is shown the first one's edit
    When the answer to a write is lost after it took effect
    Then the writer is told that it was written

  Scenario: Bad frames and datagrams are refused and change nothing
    Given a running fleet
      | service   | zone | count |
      | catalogue | za   | 2     |
    When a daemon gets broken datagrams, frames and facts
    Then it still answers probes and calls, and its members are unchanged
