"""Teams' limits, kept over all hosts by parts that follow the demand."""
