Feature: Splits follow the weights in force, whatever weights were in force before

  # review/8: each daemon sent some of its first requests to services that no version gave a weight.
  Scenario: Services whose weight was never above 0
    Then no request goes to a service whose weight is 0, for any weights
