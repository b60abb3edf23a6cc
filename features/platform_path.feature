Feature: Daemons serve callers on the platform, through its store, headers and heartbeats

  Background:
    Given a fleet on the platform
      | service   | zone | target arguments |
      | catalogue | za   |                  |
      | catalogue | zb   |                  |
      | payments  | za   |                  |
      | payments  | zb   |                  |

  Scenario: Requests of both kinds
    When an idempotent and a non-idempotent request go through each daemon
    Then each ran once, with its method, path, query and body unchanged
    And each target received the caller's service and a deadline no later than the caller's
    And no daemon has started a second thread

  Scenario: Unknown paths, and configuration changes while the store is down
    Then an unknown path gets 404
    When a new configuration adds a route and removes another
    Then each daemon, asked in turn, applies it within 2 seconds
    When the store goes down
    Then every daemon still applies it
    And a daemon that starts now gets it from its peers

  Scenario: A target that leaves, and one whose daemon is restarted
    When a target announces that it is draining
    Then it runs no further request, and each request runs elsewhere
    When a daemon is killed and started again beside its target
    Then it serves again within 3 seconds

  Scenario: An evacuated zone
    When zone zb is evacuated
    Then after 2 seconds no request runs there
    When the evacuation is revoked
    Then requests run there again

  Scenario: Deposits while targets and daemons are killed
    When deposits are sent for 6 seconds while targets and daemons are killed
    Then no deposit ran twice, and none that was refused as not run has run

  Scenario: A planned stop under load
    When a daemon is told to stop while requests go through it
    Then it reports that it is not ready, and cuts off no request
    And an idle connection was closed while the daemon still ran

  Scenario: A good version and a bad one are ordered
    When a rollout to a version of catalogue that fails half of its requests is ordered to finish within 8 s
    Then it is rolled back by its deadline
    When a rollout to a good version of catalogue is ordered to finish within 14 s
    Then it has succeeded by its deadline
