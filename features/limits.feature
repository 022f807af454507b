@usage @fairness
Feature: Spending limits and retry budgets across all entries

  # Callers of a workspace use all three entries at once. If each entry counted only its own requests, the workspace would
  # spend three times its limit.
  Scenario: A workspace's limit holds across all entries
    Given a fleet of 3 entries, 3 control processes, 3 engines and 0 services
    And the workspaces "hotel" and "depot"
    And the limit of "hotel" is 6000 tokens in a window
    When "hotel" sends 60 chats of 200 tokens over all entries at once
    Then "hotel" was answered at most 6000 tokens, and at least one chat was refused with 429 "over-limit"
    And each refusal for the limit names the time until the next window

  # Prevents a retry storm: if every entry retried every failed request, a failing pool would receive four times the requests
  # and not recover.
  Scenario: A pool of which all engines fail receives few more attempts than requests
    Given a fleet of 2 entries, 3 control processes, 3 engines and 0 services
    And the workspaces "hotel" and "depot"
    And each engine refuses its next 1000 requests
    When "hotel" sends 200 chats of 20 tokens over all entries at once
    Then the engines got at most 280 requests
