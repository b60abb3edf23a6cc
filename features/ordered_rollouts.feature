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

  # Guards against an outcome that is due so late that only one recorder can write it in time.
  Scenario: When the outcome is due
    Then a rollback is due early enough for each recorder to write it before the deadline, and a success for the first two

  Scenario: Which daemon reports the state
    Then a few recorders may write each state, one after the other, with the takeover delay between them

  # Guards against a rolled-back version that counts as an old one once another is ordered.
  Scenario: A version that was rolled back, and the next order
    Then a rolled-back version gets no request after a later order, until it is ordered itself
    And a version whose order is removed after its rollback gets no request either

  # Guards against a last stage in which nothing but the analysis limits a bad version.
  Scenario: All requests to a new version are counted
    Then no version gets more requests until its deadline than a bad one may, not even one that passes
    And it gets no more than that before it has passed, though requests come faster at the end

  # Guards against trial targets that differ between daemons, so that their requests add up.
  Scenario: Trial targets of a service with more targets than a daemon tracks
    Then they load the same target, and know how many there are, though each tracks a part of them
