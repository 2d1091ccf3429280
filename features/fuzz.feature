Feature: Malformed input is handled at every entry point
  Every entry point answers or closes; none hangs, raises or leaks memory.

  Scenario: fuzz every entry point with mutated requests and frames
    When the fuzzer sends 500 inputs from seed 20261204
    Then the fuzzer saw every entry point answer or close

  @long
  Scenario: fuzz every entry point for longer
    When the fuzzer sends 20000 inputs from seed 20261205
    Then the fuzzer saw every entry point answer or close
