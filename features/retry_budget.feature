Feature: Repeats stay within one budget for all daemons, without any message between them

  Scenario: Shared budget
    Then in any window all daemons together repeat no more than the share and the extra allow

  Scenario: What counts as a try
    Then a refusal by a gate costs no target and no repeat, and a route's targets are never exceeded
