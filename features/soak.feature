Feature: The guarantees hold while faults of all kinds overlap

  Scenario: A short soak with the seed of the run
    Then a soak of 24 seconds violates no guarantee

  Scenario Outline: Soaks that once failed
    Then the soak of seed <seed> with the first <kinds> fault kinds for <seconds> seconds violates no guarantee

    Examples: cause of the first failure
      | seed | kinds | seconds | cause |
      | 13   | 19    | 32      | a cold target was overloaded: its rate was not known, since the configuration arrived before the service |
