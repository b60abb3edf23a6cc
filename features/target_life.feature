Feature: A target's state is known from its heartbeats and its health path

  Scenario: Late and repeated heartbeats
    Then heartbeats in any order leave the newest incarnation with its highest sequence number

  Scenario: A target that leaves
    Then a target that has announced its departure is not ready again in that incarnation

  # Guards against a target that has left and comes back, because its departure arrived twice.
  Scenario: A target's departure arrives again when another target is known
    Then a target whose departure was told again is not taken for a new one, however late its heartbeat

  Scenario: A daemon that restarts beside a target
    Then a healthy response or a heartbeat makes the target ready, and a healthy response ends suspicion unless another incarnation sent it

  Scenario: Cold targets
    Then a cold target gets no more requests in any second than its rate and a burst of two

  # Guards against a missing or unreadable field that ends suspicion and gives a target its usual
  # rate.
  Scenario: Health responses that lack a field
    Then a health response without an instance id, or with a cold time that can't be read, does not give a target its usual rate

  Scenario: The configuration is known before the service of the target
    Then a cold target is limited to its rate whether its service or the configuration is known first

  # Guards against a stop that fails at its first step and cuts all requests (issue 23).
  Scenario: A target leaves before its first heartbeat reaches a daemon that has restarted
    Given a daemon that knows its target from the health path alone
    When the target's departure arrives
    Then the daemon's record is valid, says that it drains, and can be published again

  # Guards against requests to a target that has left, because a process that has started since takes
  # a late heartbeat for the first one of a new target (review, case 2).
  Scenario: A late heartbeat of a target that has left while its daemon restarted
    Given a daemon that has restarted beside a target whose health path answers 503 as i-1
    When a heartbeat of i-1, born at 1000, arrives
    Then the target gets no requests

  Scenario: A late heartbeat of a target whose address another one has
    Given a daemon that has restarted beside a target whose health path answers 200 as i-2
    When a heartbeat of i-1, born at 1000, arrives
    Then i-2 gets requests
    When a heartbeat of i-2, born at 2000, arrives
    Then i-2 gets requests
    And its version is known to other daemons
    When a heartbeat of i-1, born at 1000, arrives
    Then i-2 gets requests

  # Guards against a target that is kept out because its daemon has restarted.
  Scenario: Heartbeats of a target that has not left
    Given a daemon that has restarted beside a target whose health path answers 200 as i-1
    When a heartbeat of i-1, born at 1000, arrives
    Then i-1 gets requests
    And its version is known to other daemons
    When i-2's health path answers 200
    And a heartbeat of i-2, born at 2000, arrives
    Then i-2 gets requests

  Scenario: A target in service whose health path says that it is not
    Given a daemon that has restarted beside a target whose health path answers 503 as i-1
    When heartbeats of i-1, born at 1000, go on for 9 seconds
    Then the target gets no requests
    When heartbeats of i-1, born at 1000, go on for 3 seconds
    Then i-1 gets requests

  # Guards against a target without pace in its load header that becomes cold again and gets its
  # usual rate until the next reading of its health path (review, case 5).
  Scenario: A target in service that becomes cold
    Then a target that becomes cold under 20, 37, 90 requests a second gets no more than it tolerates
