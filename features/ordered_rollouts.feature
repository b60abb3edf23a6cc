Feature: A new version gets few requests until it is known to be good, and none once it is known to be bad

  Scenario: Exposure
    Then all daemons together stay within the exposure limit of a stage, however requests are distributed

  Scenario: Stages
    Then no stage is skipped, and the next one needs elapsed time and evidence without a regression

  Scenario: Emulated rollouts
    Then of 300 good rollouts few are rolled back, and of 300 bad ones of each kind few pass

  Scenario: The deadline
    Then daemons whose clocks differ or jump agree on the remaining time

  Scenario: Which daemon reports the state
    Then each state is reported by one daemon, and by the next in order when that one has died
