@config
Feature: Configuration and the freshness of views

  # Callers received occasional "stale-view" refusals in a fleet without any failure. The control process held an entry's
  # pull for half the freshness lease, and its response renewed the lease from the time at which the pull was sent. The
  # next pull was answered just as the lease expired: two waits of half a lease plus a round trip exceed one lease.
  Scenario: A view stays fresh while the control processes are healthy
    Given a fleet of 2 entries, 3 control processes, 1 engines and 0 services
    And the workspaces "hotel" and "depot"
    Then no entry's view goes stale within 30 seconds
