Feature: Every caller gets the whole answer to its own request

  Scenario Outline: A request that must stay in a region is served there
    Given two regions with an entry host each
    When a member of "<home>" asks "<entry>" for a chat that must stay home
    Then the whole answer comes from an engine in "<home>"
    And no engine elsewhere has run it

    Examples:
      | home  | entry   |
      | north | north-1 |
      | south | north-1 |
      | south | south-1 |

  Scenario Outline: A request that may not be repeated runs at most once
    Given two regions with an entry host each
    When a driver sends a "<method>" of "<path>" twice with one id
    Then both answers are the same
    And the service has run it once

    Examples:
      | method | path              |
      | POST   | /release/pack-7   |
      | GET    | /release/bay-4    |
