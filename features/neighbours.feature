Feature: Little crosses between availability zones

  Scenario: Targets
    Then the candidates that are looked at are mostly of the own zone, and all where there are few

  Scenario: Facts
    Then a fact crosses to each other zone a few times only, and reaches nearly all daemons

  Scenario: Probes and syncs
    Then each peer of the own zone is probed in turn, and few of the others

  Scenario: Judges of a rollout
    Then a few daemons judge a rollout, the same ones for all that know the same members
