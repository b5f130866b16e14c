Feature: No key has two owners, and each rule is needed for that

  A model of a zone runs the real witnesses, assents and grants of three dispatchers in virtual time.
  Processes pause, crash and restart; upstreams freeze and return; links are cut; messages are lost
  or late; clocks run at rates that differ by 2%.

  Scenario: With all rules in force
    When the model runs 20 s with each of the seeds 0 to 7
    Then no run finds two owners or two senders
    And at least 40 moves were finished

  Scenario Outline: Without one rule
    When the model runs 20 s without <rule> and with the seeds from 0 on
    Then one of the first 40 runs finds two owners

    Examples:
      | rule                          |
      | assents                       |
      | the wait after refusals       |
      | refusals                      |
      | counting grants from readings |
