Feature: Changes take force in time although reads that may be stale are seconds old

  # review/9: all daemons followed the store by watches that may be stale, so none had a change in time.
  Scenario: A zone is evacuated, a version is rolled out and a route is changed
    Given a fleet on the platform
      | service   | zone | target arguments |
      | catalogue | za   |                  |
      | catalogue | za   |                  |
      | catalogue | zb   |                  |
      | payments  | za   |                  |
      | payments  | za   |                  |
      | payments  | zb   |                  |
    And each zone has had its readers for some seconds
    When reads that may be stale become 6 seconds old
    And zone zb is evacuated
    Then after 2 seconds no request runs there
    When the evacuation is revoked
    Then requests run there again
    When a rollout to a good version of catalogue is ordered to finish within 14 s
    Then it has succeeded by its deadline
    When a new configuration adds a route and removes another
    Then all daemons apply it 2 seconds later

  # Guards against the same in a fleet that follows sections.
  Scenario: A section is edited
    Given a running fleet with a platform
      | service   | zone | count |
      | catalogue | za   | 3     |
      | catalogue | zb   | 3     |
    And each zone has had its readers for some seconds
    When the section shop gets a valid edit
    Then it is in force at every daemon within 5 seconds
    When reads of its platform that may be stale become 10 seconds old
    And the section shop gets a valid edit
    Then it is in force at every daemon within 5 seconds

  Scenario: One daemon that reads for its zone, and one that does not
    Given the stand-in store
    Then a reader of a zone has a change within 1.5 seconds, also after its watches were cut off silently, and another daemon has it later and sends no linearizable watch
    And a reader whose store refuses linearizable calls still has changes by the others
