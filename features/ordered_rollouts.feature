Feature: A new version gets few requests until it is known to be good, and none once it is known to be bad

  Scenario: Exposure
    Then all daemons together exceed the exposure limit of a stage by at most one request each, however requests are distributed

  Scenario: Few targets of the new version
    Then the targets that get requests before all traffic is moved bear as much as with all traffic, and all daemons choose the same

  Scenario: Stages
    Then no stage is skipped, and the next one needs elapsed time, enough requests and evidence without a regression

  Scenario: Trouble with all traffic
    Then a version that fails once it has all traffic is in doubt whatever it did before

  Scenario: Emulated rollouts
    Then at most 3 in 100 good rollouts are rolled back, at most 2 in 100 bad ones of each kind pass, and no bad version gets too many requests

  Scenario: The deadline
    Then daemons whose clocks differ agree on the remaining time, and a clock that jumps is slewed

  Scenario: Which daemon reports the state
    Then a few recorders may write each state, one after the other, with the takeover delay between them
