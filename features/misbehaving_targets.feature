Feature: Targets that send without end end no daemon, and callers are still answered

  Background:
    Given three daemons whose machines have 100 MB of memory and 600 descriptors

  # Guards against a daemon that keeps all bytes of a faulty target until it runs out of memory.
  Scenario Outline: 20 callers whose targets send a <form> without end
    When 20 callers of one daemon ask for a response whose <form> does not end
    Then each daemon lives within its memory and descriptors, and answers an ordinary request
    And each of the callers got a failure, or a response that does not look complete

    Examples:
      | form            |
      | header          |
      | header-lines    |
      | large-chunks    |
      | small-chunks    |
      | chunk-extension |
      | trailers        |
      | body            |
      | no-response     |

  Scenario: Callers of all daemons whose targets send without end
    When 8 callers of each daemon ask for a response of each form
    Then each daemon lives within its memory and descriptors, and answers an ordinary request
