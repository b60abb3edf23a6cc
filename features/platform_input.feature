Feature: What the platform sends is decoded once, and bad input changes nothing

  Scenario: Durations
    Then a duration is parsed back from its text, and any other text is refused

  Scenario: Settings files
    Then a settings file gives the product's settings, and a missing or bad value is named

  Scenario: Configurations
    Then a configuration is decoded to a route table, and an invalid one is refused with the location

  Scenario: Rollout orders
    Then an order keeps its state only for the version that it names

  Scenario: Heartbeats
    Then a valid heartbeat is decoded in full, and an invalid one is refused

  Scenario: Load of a target
    Then load headers are parsed, and any other text is ignored
