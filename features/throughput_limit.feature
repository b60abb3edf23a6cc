Feature: The concurrency limit is the one with the highest throughput

  Scenario: A target that completes fewer requests with all slots in use
    Then with a knee at 4 of 5 slots, the limits of at least 9 in 10 full targets are 4 within 40 responses
    And with a knee at 4 of 5 slots, full targets serve at least 15 in 100 requests more than by their slots
    And a knee at 4 of 5 slots is found in noisy load, and no lower limit is learned

  Scenario: A target without a knee
    Then without a knee, the learned limit of a full target stays at the slots
    And in noisy load of requests that make calls of their own, the learned limit stays at the slots

  Scenario: The knee of a target is gone
    Then the limit of a full target is at the slots again within 150 seconds after the knee is gone

  Scenario: A target is replaced while its requests run
    Then nothing learned of the earlier target is kept, and its late responses count for nothing

  Scenario: A daemon learns the limit of its target
    Then an ingress admits and reports the learned limit, and a pace that is not usual counts for nothing

  Scenario: Requests end without a response, or their greenlets are killed
    Then each request is uncounted once, and what the target may still run with is not measured
    And responses with status 500 and those of a cold target are not measured
