@key
Feature: A request runs only for the workspace whose key came with it

  Background:
    Given a fleet of 2 entries, 3 control processes, 1 engines and 2 services
    And the workspaces "hotel" and "depot"

  # An operator withdraws a leaked key whose request the entry accepted long before. If keys were checked only on arrival, the
  # holder of a leaked key could use it for as long as a stream stays open.
  Scenario: A key is withdrawn while its stream runs
    When "hotel" starts a chat of 2000 tokens on entry 1
    And 20 tokens have come
    And the key of "hotel" is withdrawn
    Then the change is in force within 3500 ms
    And the last chat ends with the error "key-withdrawn" and the outcome "partly-run"

  Scenario: A key is withdrawn while its request waits in the queue
    Given the engines are busy with chats of "depot"
    When "hotel" starts a chat of 10 tokens on entry 1
    And the key of "hotel" is withdrawn
    Then the last chat is refused with 401 "key-withdrawn" and the outcome "not-run"

  Scenario: Every entry refuses a withdrawn key
    When the key of "hotel" is withdrawn
    And "hotel" sends a chat of 10 tokens to entry 1
    Then the last chat is refused with 401 "key-unknown" and the outcome "not-run"
    When "hotel" sends a chat of 10 tokens to entry 2
    Then the last chat is refused with 401 "key-unknown" and the outcome "not-run"

  # An entry that is isolated from the control processes does not receive the withdrawal of a key. If its view of the
  # configuration did not expire, the key would keep working there for hours.
  Scenario: An entry that is isolated from the control processes stops accepting requests
    Given "hotel" starts a chat of 400 tokens on entry 1
    And 5 tokens have come
    When entry 1 is cut off from the control processes
    And the key of "depot" is withdrawn
    Then the change is in force within 5000 ms
    When "depot" sends a chat of 10 tokens to entry 1
    Then the last chat is refused with 503 "stale-view" and the outcome "not-run"
    And the first chat is answered whole

  Scenario Outline: A key in the <place> is refused and reaches no upstream
    When "hotel" sends a request with its key in the <place>
    Then it is refused with 400 "key-misplaced"
    And no upstream has seen a key

    Examples:
      | place             |
      | query             |
      | percent-coded url |
      | message           |
      | service body      |
      | escaped json      |
