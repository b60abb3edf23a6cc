Feature: Input from the platform is decoded, and invalid input is refused

  Scenario: Durations
    Then a duration is parsed back from its text, and any text that is accepted holds more than a unit and gives no negative duration

  Scenario: Settings files
    Then the platform's settings are decoded, and an error names a missing or invalid value, or the line of the file

  # Guards against requests that are accepted during a stop and outlast it (issue 23).
  Scenario: Times of a stop
    Then with any grace period from 1 to 60 s, requests that may outlast a stop are served for less than 3 s, and the stop ends within the grace period

  Scenario: Configurations
    Then a configuration is decoded to a route table, and the error for an invalid one names the field or its route

  # Guards against a configuration that is refused whole for the kind of one route, so that nothing
  # is served (the kind `download` was not known).
  Scenario: Kinds of routes
    Then downloads may be repeated, and a route of an unknown kind is served at most once beside the others

  Scenario: Rollout orders
    Then an order keeps its state only for the version that it names

  Scenario: Heartbeats
    Then a heartbeat is decoded, the error for an invalid field names its top-level field, and other bytes are refused

  Scenario: Load of a target
    Then load headers are parsed, a text of fewer than three values is ignored, and no parsed count is negative

  # Guards against one odd entry of another writer that keeps daemons from following the others.
  Scenario: Odd entries among those of the platform
    Then a follower has the good ones among them, and takes none back that it can't read
    And a daemon registers and joins although registrations hold nonsense
    And a heartbeat with nested, too large or out of range values is refused
    And a connection to a port out of range fails as any other that can't be made
    And what is nested too deeply is read as null, and any other content unchanged

  # Guards against one invalid entry that keeps a fleet from joining, or the rest of a list from
  # being applied (review, case 3).
  Scenario: Random entries among those of the platform
    Then documents of each kind take effect beside any entries of another writer
    And a daemon joins through the registrations beside them
    And sections and heartbeats of any content are refused or read, without another effect
    And the log names each entry that is left out
