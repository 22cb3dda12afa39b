Feature: A call with an idempotency key runs at most once

  Scenario Outline: A key is claimed a second time
    Given a claim that is <state>
    When the key is claimed again <variant>
    Then the result is <result>

    Examples:
      | state    | variant                  | result   |
      | open     | from another instance    | held     |
      | done     | from another instance    | held     |
      | unknown  | from another instance    | held     |
      | not run  | from another instance    | granted  |
      | open     | with its own token       | granted  |
      | not run  | with another request     | held     |

  Scenario Outline: A claim without a known outcome is resolved
    Given a claim that is <state>
    When the upstream reports <status> after <unchanged_s> seconds and the holder is <holder>
    Then the claim becomes <result>

    Examples:
      | state   | status     | unchanged_s | holder | result  |
      | open    | ran        | 1           | alive  | done    |
      | open    | never seen | 99          | alive  | open    |
      | open    | never seen | 1           | gone   | unknown |
      | open    | never seen | 99          | gone   | not run |
      | open    | cannot say | 99          | gone   | unknown |
      | unknown | ran        | 1           | alive  | done    |
      | unknown | never seen | 1           | alive  | unknown |
      | unknown | never seen | 99          | alive  | not run |
      | unknown | cannot say | 99          | gone   | unknown |

  Scenario: The delayed write of a refused claim fails
    Given a claim whose write is delayed
    When its call is refused and recorded as not run
    And the delayed write arrives
    Then the delayed write fails
    And the key can be claimed again

  Scenario: A key older than the retention is refused
    Given a version 7 UUID created two days ago as the key
    Then claiming it returns Expired

  Scenario: A full bucket refuses another claim
    Given a full bucket
    Then claiming a key returns Full
