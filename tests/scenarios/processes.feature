Feature: Request guarantees while real processes fail

  Background:
    Given 2 entries and 3 agents with 8 slots and a service time of 30 ms

  Scenario Outline: A failure occurs while requests are in progress
    When callers send 240 requests while <failure>
    And callers retry unanswered requests through entry-2
    Then every caller has one outcome and the history has no faults
    And every kind has completed requests

    Examples:
      | failure                                           |
      | agent-1 is killed                                 |
      | agent-1 is frozen for 3 s                         |
      | agent-2 is killed and restarted                   |
      | the path to agent-1 stops responding              |
      | the path from agent-1 is cut in one direction     |
      | the log is down for 3 s                           |
      | the log loses the replies to 20 appends           |
      | the log takes 400 ms for each call                |
      | answers of agent-1's backend server are truncated |

  Scenario: An entry crashes with requests in progress
    When callers send 240 requests through entry-1 and entry-1 is killed
    And callers retry unanswered requests through entry-2
    Then the history has no faults
    And every kind has completed requests

  Scenario Outline: A planned stop interrupts no request
    When callers send 240 requests while <name> is stopped
    Then every caller has one outcome and the history has no faults
    And no request on <name> was interrupted
    And <name> exited with code 0

    Examples:
      | name    |
      | agent-1 |
      | entry-1 |

  Scenario: A draining agent gets no new work, even while the log is down
    Given the log is down
    When agent-1 is drained by an operator at entry-1
    And 3 s pass
    And callers send 60 requests through both entries
    Then agent-1 received none of them
    And the history has no faults

  Scenario: A data centre is evacuated while requests are in progress
    When callers send 240 requests while kumasi is evacuated at entry-1
    Then every caller has one outcome and the history has no faults
    And every kind has completed requests
    And no request on agent-1 was interrupted

  Scenario: Nothing is started in an evacuated data centre until it is restored
    When kumasi is evacuated by an operator at entry-1
    And 5 s pass
    And callers send 60 requests through both entries
    Then no agent in kumasi received any of them
    When all entries and agents are killed and restarted
    And callers send 60 requests through both entries
    Then no agent in kumasi received any of them
    When the log goes down
    And agent-1 is killed and restarted
    And entry-2 is killed and restarted
    And callers send 60 requests through both entries
    Then no agent in kumasi received any of them
    When the log comes back
    And kumasi is restored by an operator at entry-2
    And 5 s pass
    And callers send 60 requests through both entries
    Then agents in kumasi received some of them
    And the history has no faults

  Scenario: Two operators evacuate and restore a data centre at once
    When kumasi is evacuated by an operator at entry-1
    And two operators restore it and evacuate it again on the same version
    Then the restore is accepted, and both entries show kumasi as restored

  Scenario: Of two concurrent configurations, one is accepted at every entry
    When two operators publish on the same base version at both entries
    Then one is accepted and one is superseded
    And both entries have the accepted version within 4 s

  Scenario: An accepted configuration survives a restart of all entries and agents
    When a second configuration is published
    And all entries and agents are killed and restarted
    Then both entries have the accepted version within 4 s of being ready
