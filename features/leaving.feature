@leaving @stop
Feature: Upstreams that leave, and planned stops

  Background:
    Given a fleet of 3 entries, 3 control processes, 3 engines and 2 services
    And the workspaces "hotel" and "depot"

  # An engine announces that it is leaving, and an older announcement of it arrives later through another entry. Unless
  # announcements are ordered by the upstream's own sequence numbers, it would receive new work and be reclaimed with it.
  Scenario: A leaving upstream gets no new work after two seconds
    When an engine says that it leaves
    And 2000 ms pass
    And 20 chats of 10 tokens are spread over all entries
    Then each chat is answered whole
    And the leaving engine got none of them

  # The engine's announcements still say that it is ready, as they do while the one of its departure is late or lost.
  Scenario: An engine that states only in its responses that it leaves gets no new work
    When an engine states only in its responses that it leaves
    And 12 chats of 10 tokens are spread over all entries
    And 500 ms pass
    Then each chat is answered whole
    And that engine gets none of 20 further chats

  Scenario: An engine is reclaimed with two seconds' notice during streams
    When 9 chats of 400 tokens are started over all entries
    And 1000 ms pass
    And an engine is reclaimed with 2000 ms notice
    Then each chat is answered whole

  # Prevents a planned restart from ending the process while streams run on it, which would truncate answers.
  Scenario: A planned stop of an entry interrupts no request
    When 6 chats of 200 tokens are started over all entries
    And entry 1 is stopped as planned
    Then each chat is answered whole
    And the stop of entry 1 was whole

  # The stopping entry owns a pool's queue, in which tickets of other entries wait. The queue must move to the next owner;
  # if it ended with the old one, callers of other entries would be refused.
  Scenario: The owner of a queue is stopped while tickets of other entries wait in it
    Given 70 patient chats of 100 tokens are started on entries that do not own the queue
    When 500 ms pass
    And the owner of the queue is stopped as planned
    Then each chat is answered whole

  # The owner of a queue dies, and only it knew which requests it had granted. If the next owner relied on the engines' last
  # load reports, which predate those grants, it would assume idle engines, send them more requests than they have slots
  # and slow down all their streams.
  Scenario: A new owner counts the requests that already run
    Given the upstreams' announcements are lost from now on for 1900 ms
    And 48 chats of 600 tokens are started on entries that do not own the queue
    When 300 ms pass
    And the owner of the queue is killed
    And 600 ms pass
    And 30 chats of 20 tokens are started on entries that do not own the queue
    Then no engine has more requests than slots within the next 400 ms

  Scenario: Callers are served while each entry is restarted in turn
    When chats keep coming while the entries are restarted one after the other
    Then each chat is answered whole, or was refused as "not-run"
    And each restart was whole
