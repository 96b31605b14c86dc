Feature: An accepted configuration comes into force everywhere within seconds

  Scenario: A new version spreads from peer to peer while the log is down
    Given 3 entries and 60 agents
    And the log is down
    When one agent learns version 7
    And 4 seconds pass
    Then every process has version 7

  Scenario: Agents get the version after a long network partition
    Given 3 entries and 20 agents
    And the log is down
    And 10 agents are partitioned from the rest
    When one agent learns version 7
    And 300 seconds pass
    Then the partitioned agents have version -1
    When the partition heals
    And 4 seconds pass
    Then every process has version 7

  Scenario: A peer with an older version does not replace the newer one
    Given 3 entries and 10 agents
    And the log is down
    And every process has version 7
    When one agent restarts with version 5
    And 4 seconds pass
    Then every process has version 7
