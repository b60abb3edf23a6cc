Feature: Splits follow the weights in force, whatever weights were in force before

  # review/8: each daemon sent some of its first requests to services that no version gave a weight.
  Scenario: Services whose weight was never above 0
    Then no request goes to a service whose weight is 0, for any weights

  # review/6: a service kept a lead that it had earned in the unit of earlier weights.
  Scenario: Weights that change to 0 or to another unit
    Then no request goes to a service whose weight is 0, for any series of weights
    And each version's requests are split to within two requests, for any series of weights

  Scenario: Daemons that start together
    Then the first requests of 11 and of 195 daemons together are split by the weights
