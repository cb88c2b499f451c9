Feature: What must always hold

  Scenario Outline: A region cut off from the others keeps serving
    Given two regions with two entry hosts each, behind links
    When "<region>" is cut off from the other region
    Then a driver in "<region>" gets a whole answer
    And a member of the other region is told at "<region>" that it was not run

    Examples:
      | region |
      | north  |
      | south  |

  Scenario Outline: When a caller is told "not run", it truly was not run
    Given two regions with an entry host each
    When the services of "north" stop listening
    And a driver sends a "<method>" of "<path>" that may run once
    Then the driver is told that it was not run
    And no service has run it

    Examples:
      | method | path            |
      | POST   | /release/pack-7 |
      | GET    | /release/bay-4  |

  Scenario: A leaving endpoint gets no new work
    Given two regions with an entry host each and a control host
    When an operator plans and confirms the drain of "north-chat-1"
    Then the plan is done
    And a chat asked for at "north-1" is whole and served elsewhere

  Scenario: A planned stop cuts off no request in flight
    Given two regions with two entry hosts each, behind links
    When guests have 5 streams flowing at "north-1" and it is told to stop
    Then every stream ends whole

  Scenario: An accepted configuration is in force everywhere and stays
    Given two regions with an entry host each and a control host
    When an operator plans and confirms the drain of "south-chat-1"
    Then the plan is done
    And every entry host holds it, also after each is restarted
