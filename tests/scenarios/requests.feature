Feature: Each request ends once, and a booking is executed at most once

  Background:
    Given entries e0 and e1

  Scenario: A connection stops responding and the answer is fetched over a new one
    Given agents a0
    When a caller books k1 through e0
    And "k1" has started
    And the connection of e0 to a0 stops responding
    And 3 s pass
    Then the caller of k1 through e0 got completed
    And "k1" was run once

  Scenario: An entry crashes and the caller retries through another
    Given agents a0 and a1
    When a caller books k1 through e0
    And "k1" has started
    And entry e0 crashes
    And a caller books k1 through e1
    And 4 s pass
    Then the caller of k1 through e1 got completed
    And "k1" was run once

  Scenario: A retry through another entry while the first attempt is running
    Given agents a0 and a1
    When runs take 3 s
    And a caller books k1 through e0
    And "k1" has started
    And a caller books k1 through e1
    And 5 s pass
    Then the caller of k1 through e0 got completed
    And the caller of k1 through e1 got completed
    And "k1" was run once

  Scenario: An entry that resumes late finds its claim fenced
    Given agents a0 and a1
    When a caller books k1 through e0
    And e0 has read its claim of k1
    And e0 is suspended
    And a caller books k1 through e1
    And 4 s pass
    Then the caller of k1 through e1 got completed
    When e0 resumes
    And 3 s pass
    Then "k1" was run once
    And the caller of k1 through e0 got completed

  Scenario: A claim is appended after its entry has timed out
    Given agents a0 and a1
    When appends take 8 s
    And a caller books k1 through e0
    And 7 s pass
    Then the caller of k1 through e0 got refused store-unavailable
    When appends take 0.01 s
    And 3 s pass
    Then "k1" was not run
    When a caller books k1 through e1
    And 3 s pass
    Then the caller of k1 through e1 got completed
    And "k1" was run once

  Scenario: The store is down for longer than the deadline
    Given agents a0 and a1
    When the store goes down
    And a caller books k1 through e0
    And a caller asks for f1 through e0
    And 5 s pass
    Then the caller of f1 through e0 got completed
    And the caller of k1 through e0 got no outcome yet
    When 2 s pass
    Then the caller of k1 through e0 got refused store-unavailable
    When the store comes back
    And 3 s pass
    Then "k1" was not run

  Scenario: The store is down for less than the deadline
    Given agents a0 and a1
    When the store goes down
    And a caller books k1 through e0
    And 4 s pass
    And the store comes back
    And 2 s pass
    Then the caller of k1 through e0 got completed
    And "k1" was run once

  Scenario: The agent that runs a booking crashes
    Given agents a0
    When runs take 3 s
    And a caller books k1 through e0
    And "k1" has started
    And agent a0 restarts
    And 4 s pass
    Then the caller of k1 through e0 got unknown
    When a caller books k1 through e1
    And 4 s pass
    Then the caller of k1 through e1 got unknown
    And "k1" was run once

  Scenario: The agent that runs an idempotent request crashes
    Given agents a0
    When runs take 1 s
    And a caller asks for f1 through e0
    And "f1" has started
    And agent a1 starts
    And agent a0 restarts
    And 4 s pass
    Then the caller of f1 through e0 got completed

  Scenario: No byte of a request was sent
    Given agents a0 and a1
    When agent a0 crashes without notice
    And a caller books k1 through e0
    And a caller books k2 through e0
    And a caller books k3 through e0
    And 3 s pass
    Then the caller of k1 through e0 got completed
    And the caller of k2 through e0 got completed
    And the caller of k3 through e0 got completed

  Scenario: A draining instance takes no new work and finishes its requests
    Given agents a0
    When runs take 3 s
    And a caller books k1 through e0
    And "k1" has started
    And agent a0 starts to drain
    And a caller asks for f1 through e0
    And 5 s pass
    Then the caller of k1 through e0 got completed
    And the caller of f1 through e0 got refused draining
    And "f1" was not run

  Scenario: An idempotency key is reused for another request
    Given agents a0
    When a caller books k1 through e0
    And 1 s pass
    And a caller sends another body with k1 through e1
    And 1 s pass
    Then the last caller got refused idempotency-key-reused
    And "k1" was run once

  Scenario: A settled answer too large for the log is fetched from its instance
    Given agents a0
    When answers take 20000 bytes
    And a caller books k1 through e0
    And 2 s pass
    And a caller books k1 through e1
    And 2 s pass
    Then the caller of k1 through e1 got completed
    And "k1" was run once

  Scenario: A message for an earlier incarnation arrives late
    Given agents a0 and a1
    When a caller books k1 through e0
    And e0 has read its claim of k1
    And e0 is suspended
    And a caller books k1 through e1
    And 4 s pass
    And agent a0 restarts
    And agent a1 restarts
    And e0 resumes
    And 3 s pass
    Then "k1" was run once

  Scenario: The store goes down before a booking is settled
    Given agents a0 and a1
    When a caller books k1 through e0
    And "k1" has started
    And the store goes down
    And 2 s pass
    Then the caller of k1 through e0 got completed
    When the store comes back
    And 2 s pass
    And agent a0 restarts
    And agent a1 restarts
    And a caller books k1 through e1
    And 3 s pass
    Then the caller of k1 through e1 got completed
    And "k1" was run once
