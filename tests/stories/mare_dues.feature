Feature: A terminal clerk settles dues
  A late quote leaves a ship at anchor, a doubled charge starts a dispute.

  Background:
    Given the pilotage service of Tarifa Maré behind two entries

  Scenario: A charge whose answer is lost is charged once
    When the clerk settles a pilotage charge at the first entry
    And the entry's answer is lost on its way
    And she asks again at the second entry
    Then she gets the whole answer to her charge
    And the charge ran once

  Scenario: Quotes go on while the table is away
    When the platform's table goes down
    Then the clerk's quotes are answered
    And a charge is refused as unknown by entries that just started, with the time to come back
    When the table is back
    Then the same charge is answered
    And the charge ran once
