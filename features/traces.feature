@answer @tier @fairness @at-most-once @usage
Feature: Replayed traces meet their stated outcomes

  Scenario Outline: Replay of <trace> over 7 entries
    Given the fleet of the trace "<trace>" with 7 entries and 3 control processes
    When the trace is replayed
    Then the trace's stated outcome holds
    And each refused request has not run, and no call has run twice
    And what was answered is reported to the platform exactly once

    Examples:
      | trace             |
      | utility-morning   |
      | utility-reclaim   |
      | consortium-midday |
      | consortium-faults |
