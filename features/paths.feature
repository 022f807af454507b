@at-most-once @not-run
Feature: An entry loses its paths to all upstreams, while other hosts reach them

  Background:
    Given a fleet of 3 entries, 3 control processes, 3 engines and 2 services
    And the workspaces "hotel" and "depot"

  # Prevents callers of one entry from being refused while upstreams are up and other hosts reach them.
  Scenario Outline: Chats and orders through an entry whose connections are lost like this: <loss>
    When entry 1 loses its paths to upstreams like this: <loss>
    And 1000 ms pass
    And 6 chats of 10 tokens are spread over all entries
    Then the last 6 chats are answered whole
    When "depot" sends the order "two lambs" with the idempotency key "k-1" to entry 1
    Then the last order is answered
    And the order "two lambs" has run once

    Examples:
      | loss   |
      | silent |
      | reset  |
      | refuse |

  # Prevents a request from being held back for crashing upstreams that only its host does not reach.
  Scenario: Chats that run while connections are reset
    When 6 chats of 40 tokens are started over all entries
    And 500 ms pass
    And entry 1 loses its paths to upstreams like this: reset
    And 3000 ms pass
    Then each chat is answered whole
    And no request is quarantined
