Feature: Processes know one another without a list, also while the log is down

  Background:
    Given entries e1, e2 and e3
    And agents a1, a2 and a3, which every entry asks

  Scenario: An agent that starts while the log is down is known to every entry
    Given the log is down
    When agent a4 starts
    And 3 seconds pass
    Then every entry knows a4

  Scenario: An agent that drains while the log is down gets no new work after 3 seconds
    Given 60 more agents, which every entry asks
    And the log is down
    When a1 drains
    And 3 seconds pass
    Then every entry knows that a1 is draining

  Scenario: A draining agent that reaches one entry only is known as such to all
    Given 60 more agents, which every entry asks
    And the log is down
    And nothing passes between a1 and e1
    And nothing passes between a1 and e2
    When a1 drains
    And 3 seconds pass
    Then every entry knows that a1 is draining

  Scenario: A frozen agent is avoided, and used again when it wakes
    When a1 freezes
    And 5 seconds pass
    Then every entry sees a1 as gone
    When a1 wakes
    And 6 seconds pass
    Then every entry sees a1 as live

  Scenario: An agent cut one way is avoided only where it is cut
    Given nothing passes from a1 to e1
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

  Scenario: A return is seen by its answers, also without log and balancer
    Given the log is down
    And the balancer is down
    When a1 drains
    And 3 seconds pass
    And a1 returns with incarnation 2
    And 5 seconds pass
    Then every entry knows incarnation 2 of a1
    And every entry knows that a1 is not draining

  Scenario: What was said before cannot end a drain
    When a1 drains
    And 3 seconds pass
    And the log repeats the announcement of a1
    And 3 seconds pass
    Then every entry knows that a1 is draining

  Scenario: A member that died is forgotten in the end
    Given the log is down
    When a1 dies and the stream no longer holds it
    And 700 seconds pass
    Then no entry knows a1
