@streams
Feature: Upstreams spoil their streams, while entries freeze and restart

  # Prevents bytes that no run made from reaching callers: an entry takes what an upstream sends for the next event because of where it stands.
  Scenario Outline: Callers get the events of their streams, in order and once each (seed <seed>)
    When the spoilt streams drawn from seed <seed> are played for 8000 ms between processes
    Then each piece that came is the next event of its stream
    And only whole streams end as complete

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
