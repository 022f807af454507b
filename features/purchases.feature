@orders @purchases
Feature: Upstreams are bought and released with demand

  Background:
    Given a fleet of 3 engines that buys and releases upstreams
    And the workspaces "hotel" and "depot"

  # Callers wait longer and longer while the platform has idle engines on offer.
  # Load rises for a minute beyond what the first engines can do.
  # Cause: a holder that orders nothing, or where nobody sends work.
  Scenario: Load rises
    When "summary" chats come for 60 seconds, from 2 up to 16 a second
    Then engines were ordered in each zone, the cheap ones evenly
    And each ordered engine got work

  # A stream is cut in half when the load is already falling.
  # The platform stops an engine which still has an answer under way.
  # Cause: a stop ordered before the engine has drained.
  Scenario: Load falls after a peak
    When "summary" chats come for 40 seconds, from 12 up to 14 a second
    And 2 long chats are started
    And "summary" chats come for 90 seconds, from 1 up to 1 a second
    Then engines were released
    And no engine had work when the platform was told to stop it
    And no engine got work later than two seconds after it was told to drain
    And each chat is answered whole, or was refused as "not-run"

  # Cutting sheets are late because cheap engines of one zone go away all at once.
  # A zone is reclaimed with three seconds' notice in the middle of the load.
  # Cause: a mix in which the top tier stands on one zone's reclaimable engines, or no replacement for what is leaving.
  Scenario: A zone is reclaimed under load
    When "sheet" chats come for 40 seconds, from 20 up to 20 a second
    And the zone with the most ordered reclaimable engines is reclaimed with 3000 ms notice
    And "sheet" chats come for 20 seconds, from 20 up to 20 a second
    Then each chat sent since the reclaim is answered whole
    And replacements were ordered in other zones

  Scenario: No cheap capacity is to be had
    Given the platform has no reclaimable engine left
    When "summary" chats come for 60 seconds, from 4 up to 14 a second
    Then only steady engines were ordered
    And each ordered engine got work

  # No engine is bought any more, whatever is on offer.
  # The cheap capacity of all zones goes between the look at the offers and the order; the platform refuses the order.
  # Cause: an order that is sent again for good, while all later ones wait behind it.
  Scenario: Cheap capacity goes between the look at the offers and the order
    Given the platform's list of offers stays as it is for 20 seconds
    And the platform has no reclaimable engine left
    When "summary" chats come for 60 seconds, from 14 up to 14 a second
    Then only steady engines were started

  # The bill shows twice the engines that were needed.
  # The holder is lost right after the platform got its order; the next one sees the same demand, and no new engine yet.
  # Cause: a successor that does not know what was ordered, or does not count what has not started yet.
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

  # The platform gets an order of the old holder after one of the new holder.
  # The old holder's order is on its way for four seconds, and the new one has been elected meanwhile.
  # Cause: the platform ignores fencing tokens, and the end of a lease says nothing about what has left and not arrived.
  Scenario: An order is on its way while another holder takes over
    Given the holder's next order takes 4500 ms while it is cut off from the other control processes
    When 12 long chats are started
    And 40000 ms pass
    Then the platform got an order again under its own id
    And no order came from an old holder after a new one's
    And nothing was ordered twice

  # All engines are released while callers need them.
  # The entries are cut off from the control processes; the holder's last news is of an idle night.
  # Cause: a holder that goes on deciding by reports which are long out of date.
  Scenario: No news of demand
    When 6000 ms pass
    And the entries are cut off from the control processes for 60 seconds
    Then no engine was told to drain

  Scenario: A new holder without news of demand
    When 6000 ms pass
    And the entries are cut off from the control processes and the holder is killed, for 60 seconds
    Then no engine was told to drain
