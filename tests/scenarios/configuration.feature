Feature: An accepted configuration is in force everywhere within seconds

  Scenario: A new version passes from peer to peer while the log is slow
    Given 3 entries and 60 agents
    And the log is down
    When one agent learns version 7
    And 4 seconds pass
    Then every process has version 7

  Scenario: A region that was cut for long gets the version when it is back
    Given 3 entries and 20 agents
    And the log is down
    And 10 agents are cut from the rest
    When one agent learns version 7
    And 300 seconds pass
    Then the agents that are cut have version -1
    When the cut ends
    And 4 seconds pass
    Then every process has version 7

  Scenario: A peer with an older version changes nothing
    Given 3 entries and 10 agents
    And the log is down
    And every process has version 7
    When one agent starts again knowing version 5
    And 4 seconds pass
    Then every process has version 7
