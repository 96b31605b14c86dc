Feature: Operators control the system with the command-line tool
  The exit code and the output of each command report its actual result.

  Scenario: A configuration is accepted
    Given version 7 is in force
    And the entry answers a publication with "accepted" and version 9
    When the operator runs "apply {akwaaba.yaml} --author=ama"
    Then the exit code is 0
    And the output contains "accepted"
    And the publication was based on version 7 by "ama"

  Scenario: Another operator publishes first
    Given the entry answers a publication with "superseded" and version 9
    When the operator runs "apply {akwaaba.yaml} --base=7"
    Then the exit code is 4
    And the output contains "superseded"
    And the publication was based on version 7

  Scenario: A saved configuration is based on the version in its first line
    Given version 7 is in force
    And the operator saves what "show configuration" prints
    And version 8 is in force
    And the entry answers a publication with "superseded" and version 9
    When the operator runs "apply {saved}"
    Then the exit code is 4
    And the publication was based on version 7

  Scenario: An invalid file is not sent
    When the operator runs "apply {job.yaml}"
    Then the exit code is 2
    And the error output contains "tasks: found an unknown field"
    And nothing was sent

  Scenario: The entry rejects a file that the tool accepted
    Given the entry rejects a publication with "teams: found 3"
    When the operator runs "apply {akwaaba.yaml} --base=7"
    Then the exit code is 2
    And the error output contains "teams: found 3"

  Scenario: The answer to a successful publication is lost
    Given version 9 is in force with the text of "akwaaba.yaml"
    And the answer to a publication is lost
    When the operator runs "apply {akwaaba.yaml} --base=7"
    Then the exit code is 0
    And the output contains "accepted"

  Scenario: The answer is lost and another configuration is in force
    Given version 9 is in force
    And the answer to a publication is lost
    When the operator runs "apply {akwaaba.yaml} --base=7"
    Then the exit code is 4

  Scenario: The answer is lost and no newer configuration is in force
    Given version 7 is in force
    And the answer to a publication is lost
    When the operator runs "apply {akwaaba.yaml} --base=7"
    Then the exit code is 5
    And the error output contains "it is not known whether the configuration was published"

  Scenario: The answer is lost and the entry stops answering
    Given the answer to a publication is lost
    When the operator runs "apply {akwaaba.yaml} --base=7"
    Then the exit code is 5

  Scenario: The entry does not know the result of a publication
    Given version 7 is in force
    And the entry answers "POST /v1/operator/configuration" with a problem executed "unknown" and status 504
    When the operator runs "apply {akwaaba.yaml} --base=7"
    Then the exit code is 5

  Scenario: A submission whose answer is lost can be repeated
    Given the answer to "POST /v1/jobs" is lost
    When the operator runs "submit {job.yaml} --key=night-7"
    Then the exit code is 5
    And the error output contains "submit it again with --key=night-7"

  Scenario: A job is submitted
    Given the entry answers "POST /v1/jobs" with {"job_id": "cell.0-1"}
    When the operator runs "submit {job.yaml} --output=json"
    Then the exit code is 0
    And the output contains "cell.0-1"

  Scenario Outline: A refusal is reported with its reason
    Given the entry answers "<call>" with a problem executed "<executed>" and status <status>
    When the operator runs "<command>"
    Then the exit code is <code>
    And the error output contains "a-reason"

    Examples:
      | call                                  | executed | status | command         | code |
      | DELETE /v1/jobs/j1                    | no       | 404    | cancel j1       | 1    |
      | DELETE /v1/jobs/j1                    | unknown  | 504    | cancel j1       | 5    |
      | POST /v1/operator/instances/i1/drain  | no       | 503    | drain i1        | 1    |
      | POST /v1/operator/data-centres/d/evacuate | no   | 400    | evacuate d --base=1 | 2 |
      | POST /v1/operator/data-centres/d/restore  | no   | 503    | restore d --base=1  | 1 |
      | GET /v1/operator/tasks                | no       | 503    | show tasks      | 1    |
      | POST /v1/jobs                         | no       | 400    | submit {job.yaml} | 2  |

  Scenario Outline: Listings of an entry are printed
    Given the entry answers "GET /v1/operator/<path>" with <document>
    When the operator runs "<command>"
    Then the exit code is <code>
    And the output contains "<text>"

    Examples:
      | path          | document                                                   | command                       | code | text                |
      | instances     | {"instances": [{"instance_id": "i1", "draining": true}]}   | show instances                | 0    | i1           true   |
      | tasks         | {"tasks": []}                                              | show tasks                    | 0    | (none)              |
      | evacuations   | {"evacuations": [{"data_centre": "kumasi", "author": "a"}]} | show evacuations             | 0    | kumasi       a      |
      | refusals      | {"refusals": [{"reason": "shed\u001b[2J"}]}                | show refusals                 | 0    | shed?[2J            |
      | requests      | {"requests": [{"request_id": "r1"}]}                       | show requests --output=yaml   | 0    | - request_id: r1    |
      | explain/a%2Fb | {"id": "a/b", "explanation": ["waits: no room"]}           | explain a/b                   | 0    | waits: no room      |
      | status        | {"status": [{"ready": true}]}                              | status --output=json          | 0    | "ready": true       |
      | status        | {"status": [{"ready": false}]}                             | status                        | 1    | false               |

  Scenario Outline: A data centre is evacuated or restored
    Given the evacuations have version 6
    And the entry answers "POST /v1/operator/data-centres/kumasi/<verb>" with <document>
    When the operator runs "<verb> kumasi --author=ama <flags>"
    Then the exit code is <code>
    And the output contains "<text>"
    And the change was based on version <base>

    Examples:
      | verb     | flags    | document                                                                  | code | text                | base |
      | evacuate |          | {"result": "accepted", "evacuated": true, "version": 7, "agents": 3}      | 0    | accepted            | 6    |
      | evacuate |          | {"result": "unchanged", "evacuated": true, "version": 5, "agents": 3}     | 0    | unchanged           | 6    |
      | evacuate |          | {"result": "accepted", "evacuated": true, "version": 7, "agents": 0}      | 0    | knows no agent      | 6    |
      | evacuate | --last   | {"result": "accepted", "evacuated": true, "version": 7, "agents": 3}      | 0    | accepted            | 6    |
      | evacuate | --base=4 | {"result": "superseded", "evacuated": false, "version": 5, "agents": 3}   | 4    | another operator    | 4    |
      | restore  |          | {"result": "accepted", "evacuated": false, "version": 8, "agents": 3}     | 0    | accepted            | 6    |
      | restore  | --base=4 | {"result": "superseded", "evacuated": true, "version": 5, "agents": 3}    | 4    | another operator    | 4    |

  Scenario Outline: The answer to a change is lost, so the change is repeated on its base
    Given the evacuations have version 6
    And the answer to "POST /v1/operator/data-centres/kumasi/<verb>" is lost
    And the entry answers "POST /v1/operator/data-centres/kumasi/<verb>" with <document>
    When the operator runs "<verb> kumasi"
    Then the exit code is <code>
    And each of 2 changes was based on version 6

    Examples:
      | verb     | document                                                                | code |
      | evacuate | {"result": "unchanged", "evacuated": true, "version": 7, "agents": 3}   | 0    |
      | evacuate | {"result": "superseded", "evacuated": false, "version": 8, "agents": 3} | 4    |
      | restore  | {"result": "unchanged", "evacuated": false, "version": 7, "agents": 3}  | 0    |

  Scenario: The outcome of a change is unknown and its repetitions are refused
    Given the evacuations have version 6
    And the entry answers "POST /v1/operator/data-centres/kumasi/evacuate" with a problem executed "unknown" and status 504
    And the entry answers "POST /v1/operator/data-centres/kumasi/evacuate" with a problem executed "no" and status 503
    When the operator runs "evacuate kumasi"
    Then the exit code is 5
    And the error output contains "run `evacuate` again with --base=6"

  Scenario: An entry without evacuations gets no change
    Given the entry answers "GET /v1/operator/status" with {"status": [{"ready": true}]}
    When the operator runs "evacuate kumasi"
    Then the exit code is 1
    And the error output contains "use another entry"

  Scenario: An entry answers without JSON
    Given the entry answers "GET /v1/operator/status" with the text "<html>"
    When the operator runs "status"
    Then the exit code is 5
    And the error output contains "without JSON"

  Scenario: No entry is listening
    When the operator runs "status --entry=http://127.0.0.1:1"
    Then the exit code is 3
    And the error output contains "no entry reached"

  Scenario Outline: An invalid command line is rejected with an explanation
    When the operator runs "<command>"
    Then the exit code is 2
    And the error output contains "<text>"

    Examples:
      | command                | text                                  |
      | place task-1           | unknown verb 'place'                  |
      | show pumps             | SUBJECT: found 'pumps'                |
      | evacuate a/b           | NAME: found 'a/b'                     |
      | evacuate {long}        | NAME: found 'aaaa                     |
      | restore _x             | NAME: found '_x'                      |
      | restore kumasi --last  | 'last'                                |
      | apply                  | usage: dotterelspread apply FILE      |
      | apply missing.yaml     | missing.yaml                          |
      | status --colour        | 'colour'                              |
      | status --timeout=soon  | --timeout                             |
      | status --entry=ftp://x | not an HTTP URL                       |
      | validate {job.yaml}    | tasks: found an unknown field         |

  Scenario Outline: Every verb has a help text
    When the operator runs "<verb> --help"
    Then the exit code is 0
    And the output contains "usage: dotterelspread <verb>"
    And the output contains "--output"

    Examples:
      | verb     |
      | validate |
      | apply    |
      | show     |
      | explain  |
      | submit   |
      | cancel   |
      | drain    |
      | evacuate |
      | restore  |
      | status   |
