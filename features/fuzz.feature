Feature: Broken input harms no entrance
  Every entrance answers or closes; nothing hangs, crashes or grows.

  Scenario: fuzz every entrance with mutated requests and frames
    When fuzz feeds 500 inputs from seed 20261204
    Then fuzz saw every entrance answer or close

  @long
  Scenario: fuzz every entrance for longer
    When fuzz feeds 20000 inputs from seed 20261205
    Then fuzz saw every entrance answer or close
