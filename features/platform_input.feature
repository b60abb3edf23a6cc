Feature: What the platform sends is decoded once, and bad input changes nothing

  Scenario: Durations
    Then a duration is read back from its text, and any other text is refused

  Scenario: Settings files
    Then a settings file gives the product's settings, and a missing or bad value is named

  Scenario: Configurations
    Then a configuration becomes a table of routes, and any damaged one is refused with its place

  Scenario: Rollout orders
    Then an order keeps its state only for the version that it names

  Scenario: Heartbeats
    Then a heartbeat is read whole, and any damaged one names no target

  Scenario: Load of a target
    Then load headers are read, and any other text is no load
