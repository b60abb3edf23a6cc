Feature: A version that is ordered gets little until it is known to be good, and none once it is bad

  Scenario: Exposure
    Then all daemons together keep to the bound before a stage, whoever gets the requests

  Scenario: Stages
    Then a stage never skips another, and goes up only with time and clean evidence

  Scenario: Emulated rollouts
    Then of 300 good rollouts few are taken back, and of 300 bad ones of each kind few pass

  Scenario: The deadline
    Then daemons whose clocks differ or jump agree on the time that is left

  Scenario: Who tells
    Then each state is told by one daemon, and by the next in line when that one has died
