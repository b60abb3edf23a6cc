Feature: Operators' documents are in force at every daemon and never revert

  Scenario: Documents in any order
    Then documents that arrive in any order, repeatedly or late, leave the newest in force

  Scenario: A store that loses history, responses and calls
    Given the stand-in store
    Then what is in force follows the store through lost history, outages and deletions

  Scenario: A daemon that starts from a stale list
    Given the stand-in store
    Then a follower gets the changes since its list, whether the store still has its history or not
    And a late deletion event does not remove a document that was created since
    And a deletion that is told twice does not hide a document that is created next

  Scenario: A daemon that joins makes few calls
    Given the stand-in store
    Then a daemon that has joined has registered once and listed once, and a platform reader has listed twice
    And a daemon whose registration was removed registers again

  Scenario: Daemons that start together
    Given the stand-in store
    Then daemons that start together find each other although their first lists show none of them

  Scenario: A conditional write and a lost response
    Given the stand-in store
    Then a conditional write fails if the stored revision is newer, and takes effect if only its response is lost

  Scenario: A store that is unreachable for all followers of a daemon
    Then one follower keeps retrying, and the others resume when the store is reachable again

  Scenario: Few watches in a large fleet
    Given the stand-in store
    Then only readers, small fleets and daemons with a disturbance renew their watches often
    And only a daemon that has been a reader for some seconds has linearizable watches
    And a daemon whose long watch is broken learns of a change from its peers and renews the watch

  # Guards against silence of a watch that is taken for a time without news.
  Scenario: The store cuts all watches off silently, and drops its history
    Given the stand-in store
    Then the first reader of a zone has a change of that time within 1.5 seconds after the silence, and a later one too
    And a store whose answers are late is still heard
