Feature: Little traffic crosses between availability zones

  Scenario: Targets
    Then most sampled candidates are from the same zone if it has enough, and all are sampled if there are few

  Scenario: Facts
    Then a fact is sent to other zones a few times only, and reaches nearly all daemons

  # Guards against a daemon that routes by an old configuration for seconds after all watches of the
  # store were cut off, because no peer announced the new one to it (CONFIG on kleinhuis-shop-grown).
  Scenario: A document that only the readers of each zone see in the store
    Then it reaches all daemons within a second, although datagrams are lost, and few fetch it from one

  Scenario: Probes and syncs
    Then each peer of the same zone is probed in turn, and few probes and syncs go to other zones

  Scenario: Analyzers of a rollout
    Then a few daemons analyze a rollout, and all that know the same members choose the same ones
