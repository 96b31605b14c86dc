Feature: Operators drive the system from a shell
  The exit code and the text say truthfully what became of each command.

  Scenario: A configuration is accepted
    Given version 7 is in force
    And the entry answers a publication with "accepted" and version 9
    When the operator runs "apply {akwaaba.yaml} --author=ama"
    Then the exit code is 0
    And the output has "accepted"
    And the publication was based on version 7 by "ama"

  Scenario: Another operator was faster
    Given the entry answers a publication with "superseded" and version 9
    When the operator runs "apply {akwaaba.yaml} --base=7"
    Then the exit code is 4
    And the output has "superseded"
    And the publication was based on version 7

  Scenario: A file that was read back is based on the version that it names
    Given version 7 is in force
    And the operator saves what "show configuration" prints
    And version 8 is in force
    And the entry answers a publication with "superseded" and version 9
    When the operator runs "apply {saved}"
    Then the exit code is 4
    And the publication was based on version 7

  Scenario: A file with faults is not sent
    When the operator runs "apply {job.yaml}"
    Then the exit code is 2
    And the errors have "tasks: found an unknown field"
    And nothing was sent

  Scenario: The entry rejects what the tool took
    Given the entry rejects a publication with "teams: found 3"
    When the operator runs "apply {akwaaba.yaml} --base=7"
    Then the exit code is 2
    And the errors have "teams: found 3"

  Scenario: The answer is lost after the write took effect
    Given version 9 is in force with the text of "akwaaba.yaml"
    And the answer to a publication is lost
    When the operator runs "apply {akwaaba.yaml} --base=7"
    Then the exit code is 0
    And the output has "accepted"

  Scenario: The answer is lost and another configuration is in force
    Given version 9 is in force
    And the answer to a publication is lost
    When the operator runs "apply {akwaaba.yaml} --base=7"
    Then the exit code is 4

  Scenario: The answer is lost and nothing new is in force
    Given version 7 is in force
    And the answer to a publication is lost
    When the operator runs "apply {akwaaba.yaml} --base=7"
    Then the exit code is 5
    And the errors have "it is not known whether the configuration was published"

  Scenario: The answer is lost and then the entry is gone
    Given the answer to a publication is lost
    When the operator runs "apply {akwaaba.yaml} --base=7"
    Then the exit code is 5

  Scenario: The entry does not know what became of a publication
    Given version 7 is in force
    And the entry answers "POST /v1/operator/configuration" with a problem executed "unknown" and status 504
    When the operator runs "apply {akwaaba.yaml} --base=7"
    Then the exit code is 5

  Scenario: A submission whose answer is lost can be repeated
    Given the answer to "POST /v1/jobs" is lost
    When the operator runs "submit {job.yaml} --key=night-7"
    Then the exit code is 5
    And the errors have "submit it again with --key=night-7"

  Scenario: A job is submitted
    Given the entry answers "POST /v1/jobs" with {"job_id": "cell.0-1"}
    When the operator runs "submit {job.yaml} --output=json"
    Then the exit code is 0
    And the output has "cell.0-1"

  Scenario Outline: A refusal is told with its reason
    Given the entry answers "<call>" with a problem executed "<executed>" and status <status>
    When the operator runs "<command>"
    Then the exit code is <code>
    And the errors have "a-reason"

    Examples:
      | call                                  | executed | status | command         | code |
      | DELETE /v1/jobs/j1                    | no       | 404    | cancel j1       | 1    |
      | DELETE /v1/jobs/j1                    | unknown  | 504    | cancel j1       | 5    |
      | POST /v1/operator/instances/i1/drain  | no       | 503    | drain i1        | 1    |
      | GET /v1/operator/tasks                | no       | 503    | show tasks      | 1    |
      | POST /v1/jobs                         | no       | 400    | submit {job.yaml} | 2  |

  Scenario Outline: What an entry lists is printed
    Given the entry answers "GET /v1/operator/<path>" with <document>
    When the operator runs "<command>"
    Then the exit code is <code>
    And the output has "<text>"

    Examples:
      | path          | document                                                   | command                       | code | text                |
      | instances     | {"instances": [{"instance_id": "i1", "draining": true}]}   | show instances                | 0    | i1           true   |
      | tasks         | {"tasks": []}                                              | show tasks                    | 0    | (none)              |
      | refusals      | {"refusals": [{"reason": "shed\u001b[2J"}]}                | show refusals                 | 0    | shed?[2J            |
      | requests      | {"requests": [{"request_id": "r1"}]}                       | show requests --output=yaml   | 0    | - request_id: r1    |
      | explain/a%2Fb | {"id": "a/b", "explanation": ["waits: no room"]}           | explain a/b                   | 0    | waits: no room      |
      | status        | {"status": [{"ready": true}]}                              | status --output=json          | 0    | "ready": true       |
      | status        | {"status": [{"ready": false}]}                             | status                        | 1    | false               |

  Scenario: An entry that answers no JSON
    Given the entry answers "GET /v1/operator/status" with the text "<html>"
    When the operator runs "status"
    Then the exit code is 5
    And the errors have "without JSON"

  Scenario: No entry listens
    When the operator runs "status --entry=http://127.0.0.1:1"
    Then the exit code is 3
    And the errors have "no entry reached"

  Scenario Outline: A wrong command line is explained
    When the operator runs "<command>"
    Then the exit code is 2
    And the errors have "<text>"

    Examples:
      | command                | text                                  |
      | place task-1           | unknown verb 'place'                  |
      | show pumps             | SUBJECT: found 'pumps'                |
      | apply                  | usage: dotterelspread apply FILE      |
      | apply missing.yaml     | missing.yaml                          |
      | status --colour        | 'colour'                              |
      | status --timeout=soon  | --timeout                             |
      | status --entry=ftp://x | not an HTTP URL                       |
      | validate {job.yaml}    | tasks: found an unknown field         |

  Scenario Outline: Every verb has a help text
    When the operator runs "<verb> --help"
    Then the exit code is 0
    And the output has "usage: dotterelspread <verb>"
    And the output has "--output"

    Examples:
      | verb     |
      | validate |
      | apply    |
      | show     |
      | explain  |
      | submit   |
      | cancel   |
      | drain    |
      | status   |
