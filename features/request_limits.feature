Feature: A request that has run out of time leaves no task behind

  Scenario: A request whose time is over does not go on waiting for another leader
    When the time of a request is over while its leader does not answer
    Then no task waits for another leader
