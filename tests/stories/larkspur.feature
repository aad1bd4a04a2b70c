Feature: The shop dresses brides
  A late booking means an empty chair, a doubled order cuts two veils.

  Background:
    Given the fitting desk and the fabric store of Larkspur behind two entries

  Scenario: The fitting desk books while a wave maintains its minions
    When a wave maintains the minions of the fitting desk
    And the desk goes on booking until the wave is over
    Then each booking got its own whole answer
    And each minion was rebooted once, one at a time

  Scenario: A veil order that is sent twice is cut once
    When the same veil order is sent to both entries at once
    And it is sent again where no whole answer came
    Then both got the same whole answer
    And the order ran once
