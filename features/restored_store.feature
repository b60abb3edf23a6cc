Feature: What the store acknowledged stays in force when it comes back from an older copy

  # Each scenario guards against a daemon that orders what it knows by revisions of the store, which
  # are given out again after the store has come back.

  Scenario: The stand-in store comes back from a copy
    Given the stand-in store
    Then a restored copy brings back objects, history and revisions, and starts a new era
    And watches that wait are cut, and those from a revision that the store does not have get 410

  Scenario: A configuration whose revision was given out before
    Given two services in two zones on the platform
    And the store has been copied
    When configurations 5, 7 and 9 are in force one after the other
    And the store is away and comes back from the copy
    And the store has been stable for 3 seconds
    And configuration 12 is acknowledged
    Then configuration 12 is in force everywhere within 2 seconds

  Scenario: A configuration acknowledged before the daemons reach the restored store again
    Given two services in two zones on the platform
    And the store has been copied
    When configurations 5 are in force one after the other
    And the store is away and comes back from the copy
    And configuration 7 is acknowledged
    And the evacuation of zone zx is acknowledged
    Then configuration 7 is in force everywhere within 5 seconds

  Scenario: A lost configuration stays in force
    Given two services in two zones on the platform
    And the store has been copied
    When configurations 5, 7 and 9 are in force one after the other
    And the store is away and comes back from the copy
    Then configuration 9 stays in force everywhere for 4 seconds
    When a daemon is killed and started again beside its target
    Then configuration 9 is in force at the restarted daemon within 2 seconds after it is ready
    And configuration 9 stays in force everywhere for 2 seconds

  Scenario: Lost configurations are written again in turn
    Given two services in two zones on the platform
    And the store has been copied
    When configurations 5 and 7 are in force one after the other
    And the store is away and comes back from the copy
    And the store has been stable for 3 seconds
    And its revisions have passed those that it gave out before
    And configuration 5 is acknowledged
    Then configuration 7 stays in force everywhere for 2 seconds
    When a daemon is killed and started again beside its target
    Then configuration 7 is in force at the restarted daemon within 2 seconds after it is ready
    When configuration 7 is acknowledged
    Then configuration 7 is in force everywhere within 2 seconds
    And configuration 7 stays in force everywhere for 2 seconds

  Scenario: A lost evacuation binds until it is written again and taken back
    Given two services in two zones on the platform
    And the store has been copied
    When the evacuation of zone zb is acknowledged
    Then after 5 seconds no request runs in zone zb for 1 second
    When the store is down for 1.5 seconds, comes back from the copy, and other documents are written
    Then after 0 seconds no request runs in zone zb for 5 seconds
    When the evacuation of zone zb is acknowledged
    Then after 0 seconds no request runs in zone zb for 2 seconds
    When the evacuation of zone zb is deleted
    Then requests run in zone zb within 5 seconds

  Scenario: A lost evacuation, and a restored store without its history
    Given two services in two zones on the platform
    And the store has been copied
    When the evacuation of zone zb is acknowledged
    Then after 5 seconds no request runs in zone zb for 1 second
    When the store is down for 1.5 seconds, comes back from the copy, and other documents are written
    And the store discards its history
    Then after 0 seconds no request runs in zone zb for 5 seconds

  Scenario: A lost evacuation, and a daemon that starts afterwards
    Given two services in two zones on the platform
    And the store has been copied
    When the evacuation of zone zb is acknowledged
    Then after 5 seconds no request runs in zone zb for 1 second
    When the store is down for 1.5 seconds, comes back from the copy, and other documents are written
    And a daemon is killed and started again beside its target
    And the restarted daemon serves requests
    Then after 0 seconds no request runs in zone zb for 5 seconds

  Scenario: An evacuation written again with an older revision is taken back
    Given two services in two zones on the platform
    And the store has been copied
    When configurations 5, 7 and 9 are in force one after the other
    And the evacuation of zone zb is acknowledged
    Then after 5 seconds no request runs in zone zb for 1 second
    When the store is away and comes back from the copy
    And the store has been stable for 3 seconds
    And the evacuation of zone zb is acknowledged
    Then after 0 seconds no request runs in zone zb for 2 seconds
    When the evacuation of zone zb is deleted
    Then requests run in zone zb within 5 seconds

  Scenario: A zone taken back after the copy
    Given two services in two zones on the platform
    When the evacuation of zone zb is acknowledged
    Then after 5 seconds no request runs in zone zb for 1 second
    Given the store has been copied
    When the evacuation of zone zb is deleted
    Then requests run in zone zb within 5 seconds
    When the store is away and comes back from the copy
    And the store has been stable for 3 seconds
    And the evacuation of zone zb is deleted
    Then requests run in zone zb within 5 seconds
    When the evacuation of zone zb is acknowledged
    Then after 5 seconds no request runs in zone zb for 1 second

  Scenario: An evacuation whose revision was given out before
    Given two services in two zones on the platform
    And the store has been copied
    When the evacuation of zone zb is acknowledged
    Then after 5 seconds no request runs in zone zb for 1 second
    When the evacuation of zone zb is deleted
    Then requests run in zone zb within 5 seconds
    When the store is away and comes back from the copy
    And the store has been stable for 3 seconds
    And the evacuation of zone zb is acknowledged
    Then after 5 seconds no request runs in zone zb for 1 second

  Scenario: A lost registration is written again
    Given two services in two zones on the platform
    And the store has been copied
    When a daemon and its target join in zone za
    And 4 seconds pass
    And the store is away and comes back from the copy
    Then the daemon that joined is registered again within 10 seconds

  Scenario: A version known to be bad is ordered again
    Given two services in two zones on the platform
    And the store has been copied
    When a rollout to a version of catalogue that fails half of its requests is ordered to finish within 8 s
    Then it is rolled back by its deadline
    When the store is away and comes back from the copy
    And the store has been stable for 3 seconds
    And its revisions have passed those that it gave out before
    And the same rollout is ordered again
    Then it is rolled back by its deadline
    And no request has reached that version since the store came back

  Scenario: A version known to be bad is ordered again with an older revision
    Given two services in two zones on the platform
    And the store has been copied
    When a rollout to a version of catalogue that fails half of its requests is ordered to finish within 8 s
    Then it is rolled back by its deadline
    When the store is away and comes back from the copy
    And the store has been stable for 3 seconds
    And the same rollout is ordered again
    Then it is rolled back by its deadline
    And no request has reached that version since the store came back

  Scenario: The lost outcome of a bad version is written again
    Given two services in two zones on the platform
    When a rollout to a version of catalogue that fails half of its requests is ordered to finish within 8 s
    And its state is running
    Given the store has been copied
    Then it is rolled back by its deadline
    When the store is away and comes back from the copy
    Then the store holds the outcome rolled_back again within 10 seconds
    And no request has reached that version since the store came back

  Scenario: The lost outcome of a good version is written again
    Given two services in two zones on the platform
    When a rollout to a good version of catalogue is ordered to finish within 14 s
    And its state is running
    Given the store has been copied
    Then it has succeeded by its deadline
    When the store is away and comes back from the copy
    Then the store holds the outcome succeeded again within 10 seconds

  Scenario: A daemon that was cut off from the store meanwhile
    Given two services in two zones on the platform, each daemon behind a relay
    And the store has been copied
    When a daemon is cut off from the store
    And configurations 5, 7 and 9 are in force one after the other
    And the store is away and comes back from the copy
    And the store has been stable for 3 seconds
    And configuration 12 is acknowledged
    Then configuration 12 is in force at the connected daemons within 2 seconds
    When the daemon reaches the store again
    Then configuration 12 is in force everywhere within 5 seconds
    And configuration 12 stays in force everywhere for 3 seconds

  Scenario: What one daemon makes of the lists and events of a restored store
    Then an older order in the copy does not replace the lost one while operators may write it again
    And an order that is written again keeps its identity, also if the copy held an older one, and one that an operator has deleted loses it
    And a daemon that starts after the return takes nothing from the copy for newer than what its peers know
    And lost documents are held only while the store can be written to, and then removed
    And an answer of an earlier era is an error, not a reason to list at once
