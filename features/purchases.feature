@orders @purchases
Feature: Upstreams are bought and released with demand

  Background:
    Given a fleet of 3 engines that buys and releases upstreams
    And the workspaces "hotel" and "depot"

  # Load rises for a minute beyond the capacity of the initial engines. The holder must order engines, and entries must send
  # them work; otherwise callers wait longer and longer while the platform offers idle engines.
  Scenario: Load rises
    When "summary" chats come for 60 seconds, from 2 up to 16 a second
    Then engines were ordered in each zone, the cheap ones evenly
    And each ordered engine got work

  # Prevents a stop order before the engine has drained: the platform would stop an engine that still streams an answer.
  Scenario: Load falls after a peak
    When "summary" chats come for 40 seconds, from 12 up to 14 a second
    And 2 long chats are started
    And "summary" chats come for 90 seconds, from 1 up to 1 a second
    Then engines were released
    And no engine had work when the platform was told to stop it
    And no engine got work later than two seconds after it was told to drain
    And each chat is answered whole, or was refused as "not-run"

  # A zone's reclaimable engines are reclaimed at once with three seconds' notice under load. Top-tier requests would be late
  # if they depended on the reclaimable engines of one zone, or if leaving engines were not replaced.
  Scenario: A zone is reclaimed under load
    When "sheet" chats come for 40 seconds, from 20 up to 20 a second
    And the zone with the most ordered reclaimable engines is reclaimed with 3000 ms notice
    And "sheet" chats come for 20 seconds, from 20 up to 20 a second
    Then each chat sent since the reclaim is answered whole
    And replacements were ordered in other zones

  Scenario: No reclaimable engines are on offer
    Given the platform has no reclaimable engine left
    When "summary" chats come for 60 seconds, from 4 up to 14 a second
    Then only steady engines were ordered
    And each ordered engine got work

  # All reclaimable engines are taken between the query of the offers and the order, and the platform refuses the order. If
  # a refused order were retried forever, all later orders would wait behind it and no engine would be bought again.
  Scenario: Reclaimable engines are taken between the query of the offers and the order
    Given the platform's list of offers stays as it is for 20 seconds
    And the platform has no reclaimable engine left
    When "summary" chats come for 60 seconds, from 14 up to 14 a second
    Then only steady engines were started

  # The holder is lost right after the platform received its order, and its successor sees the same demand and no new engine
  # yet. If it did not know of the order, or did not count engines that are still starting, it would order twice the engines.
  Scenario: The holder is killed right after an order
    When 12 long chats are started
    And the holder is killed as soon as the platform has an order
    And 40000 ms pass
    Then the platform got an order again under its own id
    And nothing was ordered twice

  Scenario: The answer to an order is lost
    Given the answer to the next order is lost
    When 12 long chats are started
    And the platform has an order
    And 40000 ms pass
    Then the platform got an order again under its own id
    And nothing was ordered twice

  # The platform must not receive an order of the old holder after one of the new holder. The old holder's order is in
  # transit for over four seconds, in which a new holder is elected. The platform ignores fencing tokens, and the end of a
  # lease does not recall sent messages.
  Scenario: An order is in transit while another holder takes over
    Given the holder's next order takes 4500 ms while it is cut off from the other control processes
    When 12 long chats are started
    And 40000 ms pass
    Then the platform got an order again under its own id
    And no order came from an old holder after a new one's
    And nothing was ordered twice

  # The entries are isolated from the control processes, and the last demand that the holder received is that of an idle
  # fleet. If it kept deciding on outdated reports, it would release engines that callers need.
  Scenario: The holder receives no demand reports
    When 6000 ms pass
    And the entries are cut off from the control processes for 60 seconds
    Then no engine was told to drain

  Scenario: A new holder receives no demand reports
    When 6000 ms pass
    And the entries are cut off from the control processes and the holder is killed, for 60 seconds
    Then no engine was told to drain
