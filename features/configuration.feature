@config
Feature: Configuration and the freshness of views

  # Callers saw single refusals "stale-view" in a fleet where nothing had failed.
  # An entry's pull was kept waiting for half the freshness lease; its answer renewed the lease from when the pull had
  # left, so that the next pull was answered in the same moment in which the lease ran out.
  # Cause: two waits of half a lease, and the way there and back, are longer than one lease.
  Scenario: A view stays fresh while the control processes are well
    Given a fleet of 2 entries, 3 control processes, 1 engines and 0 services
    And the workspaces "hotel" and "depot"
    Then no entry's view goes stale within 30 seconds
