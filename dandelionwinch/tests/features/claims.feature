Feature: A deposit hold, charge or lodgement runs at most once

  Scenario Outline: What a repeated key gets
    Given a claim that is <state>
    When the key comes again <after>
    Then the result is <result>

    Examples:
      | state    | after                    | result   |
      | open     | from another instance    | held     |
      | done     | from another instance    | held     |
      | unknown  | from another instance    | held     |
      | not run  | from another instance    | granted  |
      | open     | with its own token       | granted  |
      | not run  | with another request     | held     |

  Scenario Outline: What an unfinished claim becomes
    Given a claim that is <state>
    When the back end says <word> after <quiet> seconds and its holder is <holder>
    Then the claim becomes <result>

    Examples:
      | state   | word       | quiet | holder | result  |
      | open    | ran        | 1     | alive  | done    |
      | open    | never seen | 99    | alive  | open    |
      | open    | never seen | 1     | gone   | unknown |
      | open    | never seen | 99    | gone   | not run |
      | open    | cannot say | 99    | gone   | unknown |
      | unknown | ran        | 1     | alive  | done    |
      | unknown | never seen | 1     | alive  | unknown |
      | unknown | never seen | 99    | alive  | not run |
      | unknown | cannot say | 99    | gone   | unknown |

  Scenario: A refused opening leaves no way for a late write
    Given an opening whose write is still under way
    When its call is refused and the refusal is recorded
    And the late write arrives
    Then the late write fails
    And the key can be claimed anew

  Scenario: A key that is older than the retention is refused
    Given a dated key from two days ago
    Then opening it gives Expired

  Scenario: A full bucket refuses and says so
    Given a bucket without room
    Then opening a key gives Full
