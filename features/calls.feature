@at-most-once @not-run
Feature: A call that must not be repeated runs at most once, and "not-run" is only stated of calls that did not run

  Background:
    Given a fleet of 2 entries, 3 control processes, 1 engines and 2 services
    And the workspaces "hotel" and "depot"

  # Prevents a customer from being charged twice: the entry dies after it has sent the call to the service, and the caller
  # repeats the call through another entry, which did not see the first send.
  Scenario: The entry dies between the send and the answer
    Given each service's next answer is late by 4000 ms
    When "depot" starts the order "two lambs" with the idempotency key "k-1" on entry 1
    And 500 ms pass
    And entry 1 is killed
    And "depot" sends the order "two lambs" with the idempotency key "k-1" to entry 2 until it has a last word
    Then the last order is refused with 409 "outcome-unknown" and the outcome "unknown"
    And the order "two lambs" has run once

  Scenario: The same call through two entries concurrently
    Given each service's next answer is late by 1000 ms
    When "depot" starts the order "one ham" with the idempotency key "k-2" on entry 1
    And "depot" starts the order "one ham" with the idempotency key "k-2" on entry 2
    Then both orders are answered alike
    And the order "one ham" has run once

  # The service accepts the call, but its response never arrives. A connection that ends without a response does not show
  # whether the call ran; if it were reported as "not-run", the caller would book a second time.
  Scenario Outline: The answer is <fault>
    Given each service's next answer is <fault>
    When "depot" sends the order "acid 5 t" with the idempotency key "k-3" to entry 1
    Then the last order is refused with 502 "outcome-unknown" and the outcome "unknown"
    When "depot" sends the order "acid 5 t" with the idempotency key "k-3" to entry 2
    Then the last order is refused with 409 "outcome-unknown" and the outcome "unknown"
    And the order "acid 5 t" has run once

    Examples:
      | fault   |
      | lost    |
      | silent  |
      | crossed |
      | unavailable |

  Scenario: All services refuse connections
    Given the services' hosts refuse connections
    When "depot" sends the order "nothing" with the idempotency key "k-4" to entry 1
    Then the last order has the outcome "not-run"
    And the order "nothing" has never run

  Scenario: The same idempotency key with another body
    When "depot" sends the order "12 drums" with the idempotency key "k-5" to entry 1
    And "depot" sends the order "13 drums" with the idempotency key "k-5" to entry 1
    Then the last order is refused with 422 "idempotency-key-reused" and the outcome "not-run"
    And the order "13 drums" has never run

  Scenario: The same idempotency key from another workspace is another call
    When "depot" sends the order "salt" with the idempotency key "k-6" to entry 1
    And "hotel" sends the order "smoke" with the idempotency key "k-6" to entry 1
    Then the order "salt" has run once
    And the order "smoke" has run once

  Scenario: A call without an idempotency key
    When "depot" sends the order "careless" without an idempotency key to entry 1
    Then the last order is refused with 400 "idempotency-key-missing" and the outcome "not-run"

  Scenario: The control processes have no majority
    When two control processes are killed
    And 4000 ms pass
    And "depot" sends the order "late night" with the idempotency key "k-7" to entry 1
    Then the last order has the outcome "not-run"
    And the order "late night" has never run
