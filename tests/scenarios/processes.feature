Feature: What must hold while real processes fail

  Background:
    Given 2 entries and 3 agents with 8 slots that take 30 ms a request

  Scenario Outline: A process fails in the middle of requests
    When callers send 240 requests and meanwhile <failure>
    And callers repeat what has no answer through entry-2
    Then every caller has one outcome and the history has no faults
    And every kind has completed requests

    Examples:
      | failure                                    |
      | agent-1 is killed                          |
      | agent-1 is frozen for 3 s                  |
      | agent-2 is killed and restarted            |
      | the path to agent-1 goes silent            |
      | the path from agent-1 is cut one way       |
      | the log is down for 3 s                    |
      | the log loses the replies to 20 appends    |
      | the log takes 400 ms for each call         |
      | answers of agent-1's backend server are cut |

  Scenario: An entry dies with requests in progress
    When callers send 240 requests through entry-1 and entry-1 is killed
    And callers repeat what has no answer through entry-2
    Then the history has no faults
    And every kind has completed requests

  Scenario Outline: A planned stop cuts off nothing
    When callers send 240 requests and meanwhile <name> is stopped
    Then every caller has one outcome and the history has no faults
    And no request that <name> had was cut off
    And <name> exited with code 0

    Examples:
      | name    |
      | agent-1 |
      | entry-1 |

  Scenario: A leaving agent gets no new work, also with the log down
    Given the log is down
    When agent-1 is drained by an operator at entry-1
    And 3 s pass
    And callers send 60 requests through both entries
    Then agent-1 was given none of them
    And the history has no faults

  Scenario: Operators race and one configuration wins everywhere
    When two operators publish on the same version at both entries
    Then one is accepted and one is superseded
    And both entries have the accepted version within 4 s

  Scenario: An accepted configuration survives the restart of everything
    When a second configuration is published
    And all entries and agents are killed and restarted
    Then both entries have the accepted version within 4 s of being ready
