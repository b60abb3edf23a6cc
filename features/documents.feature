Feature: Orders of the operators are in force at every daemon and never revert

  Scenario: Documents in any order
    Then documents that arrive in any order, again or late, leave the newest in force

  Scenario: A store that loses history, answers and calls
    Given the stand-in store
    Then what is in force follows the store through lost history, outages and deletions

  Scenario: A daemon that starts from a list that is seconds old
    Given the stand-in store
    Then the watch brings what the list lacked, with its history or without
    And a late event of a deletion takes nothing back that was ordered since

  Scenario: A daemon that joins makes few calls
    Given the stand-in store
    Then one that has joined has registered once and listed once, and a reader once more
    And one whose registration was removed registers again

  Scenario: A writer and a lost answer
    Given the stand-in store
    Then a conditional write fails over a newer revision, and a lost answer leaves the write done

  Scenario: A store that is away for all followers of a daemon
    Then one follower tries it again and again, and the others go on when it is back
