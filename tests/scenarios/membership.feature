Feature: Processes know one another without a list, also while the log is down

  Background:
    Given entries e1, e2 and e3
    And agents a1, a2 and a3, which every entry monitors

  Scenario: An agent that starts while the log is down is known to every entry
    Given the log is down
    When agent a4 starts
    And 3 seconds pass
    Then every entry knows a4

  Scenario: An agent that drains while the log is down gets no new work after 3 seconds
    Given 60 more agents, which every entry monitors
    And the log is down
    When a1 drains
    And 3 seconds pass
    Then every entry knows that a1 is draining

  Scenario: A draining agent that reaches one entry only is known as such to all
    Given 60 more agents, which every entry monitors
    And the log is down
    And the link between a1 and e1 is cut
    And the link between a1 and e2 is cut
    When a1 drains
    And 3 seconds pass
    Then every entry knows that a1 is draining

  Scenario: A frozen agent is avoided, and used again when it resumes
    When a1 freezes
    And 5 seconds pass
    Then every entry sees a1 as gone
    When a1 resumes
    And 6 seconds pass
    Then every entry sees a1 as live

  Scenario: An agent unreachable in one direction is avoided only by the entry affected
    Given messages from a1 to e1 are lost
    When 5 seconds pass
    Then e1 sees a1 as gone
    And e2 sees a1 as live
    And e3 sees a1 as live

  Scenario: An agent returns under its old address with a new incarnation
    Given the log is down
    When a1 drains
    And 3 seconds pass
    And a1 returns with incarnation 2
    And 5 seconds pass
    Then every entry knows incarnation 2 of a1
    And every entry knows that a1 is not draining
    And every entry sees a1 as live

  Scenario: A restart is detected from replies, even without log and balancer
    Given the log is down
    And the balancer is down
    When a1 drains
    And 3 seconds pass
    And a1 returns with incarnation 2
    And 5 seconds pass
    Then every entry knows incarnation 2 of a1
    And every entry knows that a1 is not draining

  Scenario: An outdated announcement cannot end a drain
    When a1 drains
    And 3 seconds pass
    And the log repeats the announcement of a1
    And 3 seconds pass
    Then every entry knows that a1 is draining

  Scenario: A dead member is eventually removed
    Given the log is down
    When a1 dies and the stream no longer holds it
    And 700 seconds pass
    Then no entry knows a1
