@at-most-once @not-run
Feature: Upstreams refuse calls, and repeat or garble their answers, while entries freeze and restart

  # Prevents orders from running twice, or after an answer that they have not run: an entry believes an answer that is about another send.
  Scenario Outline: Calls that may run once run once at most, and not after a promise (seed <seed>)
    When the refusals drawn from seed <seed> are played for 8000 ms between processes
    Then no call that may run once has run twice, or after an answer that it has not run
    And each success answers its own call

    Examples:
      | seed |
      | 2    |
      | 3    |
      | 4    |
