Feature: Little traffic crosses between availability zones

  Scenario: Targets
    Then most sampled candidates are from the same zone if it has enough, and all are sampled if there are few

  Scenario: Facts
    Then a fact is sent to other zones a few times only, and reaches nearly all daemons

  Scenario: Probes and syncs
    Then each peer of the same zone is probed in turn, and few probes and syncs go to other zones

  Scenario: Analyzers of a rollout
    Then a few daemons analyze a rollout, and all that know the same members choose the same ones
