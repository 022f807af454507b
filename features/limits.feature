@usage @fairness
Feature: Spending limits and retry budgets over all entries

  # A workspace spends three times its limit.
  # Its callers go through all hosts at once, and each host knows only what went through itself.
  # Cause: a limit that is counted by each host alone.
  Scenario: A workspace's limit holds over all entries together
    Given a fleet of 3 entries, 3 control processes, 3 engines and 0 services
    And the workspaces "hotel" and "depot"
    And the limit of "hotel" is 6000 tokens in a window
    When "hotel" sends 60 chats of 200 tokens over all entries at once
    Then "hotel" was answered at most 6000 tokens, and at least one chat was refused with 429 "over-limit"
    And each refusal for the limit names the time until the next window

  # A pool that is down gets four times the requests, and does not come up again.
  # Cause: every request that fails is sent again, by every entry.
  Scenario: A pool that fails as a whole gets few more attempts than requests
    Given a fleet of 2 entries, 3 control processes, 3 engines and 0 services
    And the workspaces "hotel" and "depot"
    And each engine refuses its next 1000 requests
    When "hotel" sends 200 chats of 20 tokens over all entries at once
    Then the engines got at most 280 requests
