@leaving @stop
Feature: Upstreams that leave, and planned stops

  Background:
    Given a fleet of 3 entries, 3 control processes, 3 engines and 2 services
    And the workspaces "hotel" and "depot"

  # A reclaimed engine dies with new work on it.
  # It has said that it leaves, and an older announcement of its arrives later through another entry.
  # Cause: announcements that are not ordered by the upstream's own numbers.
  Scenario: A leaving upstream gets no new work after two seconds
    When an engine says that it leaves
    And 2000 ms pass
    And 20 chats of 10 tokens are spread over all entries
    Then each chat is answered whole
    And the leaving engine got none of them

  Scenario: A zone's upstreams are reclaimed with two seconds' notice in the middle of streams
    When 9 chats of 400 tokens are started over all entries
    And 1000 ms pass
    And an engine is reclaimed with 2000 ms notice
    Then each chat is answered whole

  # A planned restart cuts a cutting sheet in half.
  # Cause: a process that ends while streams run on it.
  Scenario: A planned stop of an entry cuts no request
    When 6 chats of 200 tokens are started over all entries
    And entry 1 is stopped as planned
    Then each chat is answered whole
    And the stop of entry 1 was whole

  # Callers of other hosts are refused because one host is restarted.
  # The host that stops owns the pool's queue; their tickets wait in it.
  # Cause: a queue that ends with its owner, where it should go to the next one.
  Scenario: The owner of a queue is stopped while tickets of other entries wait in it
    Given 70 patient chats of 100 tokens are started on entries that do not own the queue
    When 500 ms pass
    And the owner of the queue is stopped as planned
    Then each chat is answered whole

  # Engines get more requests than they have slots, and all streams on them slow down.
  # The owner of the queue dies, and the next one takes engines for idle whose latest load report is from before.
  # Cause: what the lost owner had granted was known to it alone.
  Scenario: A new owner counts what runs already
    Given the upstreams' announcements are lost from now on for 1900 ms
    And 48 chats of 600 tokens are started on entries that do not own the queue
    When 300 ms pass
    And the owner of the queue is killed
    And 600 ms pass
    And 30 chats of 20 tokens are started on entries that do not own the queue
    Then no engine has more requests than slots within the next 400 ms

  Scenario: Callers go on while each entry is restarted in turn
    When chats keep coming while the entries are restarted one after the other
    Then each chat is answered whole, or was refused as "not-run"
    And each restart was whole
